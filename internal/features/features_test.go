package features

import "fmt"

func ExampleSupported() {
	older := Supported(List{OrderPatience})
	fmt.Println(older)
	fmt.Println(older.Lacks(List{OrderPatience, PairPrice}))
	// Output:
	// [backup_list change_sections pair_price tenants]
	// [order_patience]
}
