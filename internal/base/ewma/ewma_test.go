package ewma_test

import (
	"fmt"
	"time"

	"wisteriafield/internal/base/ewma"
)

func ExampleBlend() {
	fmt.Println(ewma.Blend(0, 30*time.Millisecond, 0.1))
	fmt.Println(ewma.Blend(30*time.Millisecond, 40*time.Millisecond, 0.1))
	// Output:
	// 30ms
	// 31ms
}
