package bench

import "image/color"

// palette holds the colours of the bars, one for each case.
var palette = []color.RGBA{
	{94, 60, 153, 255}, {178, 171, 210, 255}, {230, 97, 1, 255}, {253, 184, 99, 255},
	{27, 120, 55, 255}, {127, 191, 123, 255}, {90, 90, 90, 255}, {170, 170, 170, 255},
}
