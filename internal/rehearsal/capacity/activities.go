package capacity

import "slices"

// Activities are all that are measured, in the order of the roles.
//
// Example:
//
//	readings, failure := capacity.Plan{Repeats: 3}.Run(capacity.Activities())
func Activities() []Activity {
	return slices.Concat(courierActivities(), callActivities(), newsActivities(), primaryActivities(), seatActivities(), transportActivities())
}
