package generation_test

import (
	"os"
	"testing"

	"wisteriafield/internal/trial/seed"
)

func TestMain(m *testing.M) {
	seed.SetDefault()
	os.Exit(m.Run())
}
