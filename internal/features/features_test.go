package features

import "fmt"

func ExampleSupported() {
	older := Supported(List{OrderPatience})
	fmt.Println(older)
	fmt.Println(older.Lacks(List{OrderPatience, PairPrice}))
	// Output:
	// [backup_list pair_price]
	// [order_patience]
}
