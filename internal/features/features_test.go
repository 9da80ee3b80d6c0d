package features

import "fmt"

func ExampleSupported() {
	older := Supported(List{OrderGracePeriod})
	fmt.Println(older)
	fmt.Println(older.Missing(List{OrderGracePeriod, PairPrice}))
	// Output:
	// [backup_list change_sections pair_price tenants]
	// [order_patience]
}
