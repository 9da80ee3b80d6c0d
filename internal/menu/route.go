package menu

// Route sends the inquiries that it matches to districts, or refuses them.
// Routes are asked by Order, then by name; the first that matches decides.
type Route struct {
	Name  string
	Order int
	Match Match
	To    Target
}
