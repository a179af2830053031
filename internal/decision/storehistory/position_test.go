package storehistory_test

import (
	"fmt"

	"wisteriafield/internal/decision/storehistory"
)

func ExamplePosition_Before() {
	lost := storehistory.Position{Era: 1, Revision: 34}
	restored := storehistory.Position{Era: 2, Revision: 20}
	fmt.Println(lost.Before(restored), restored.Before(lost), storehistory.Later(lost, restored).Revision)
	// Output: true false 20
}
