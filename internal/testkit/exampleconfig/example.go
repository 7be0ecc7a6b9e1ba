// Package exampleconfig holds the kit's world as data: the settings that its schedulers run with and the
// traffic that is sent where no shape is given. Classes, plans and figures of the kit come from here;
// they are nobody's. A test keeps their names, and those of known deployments, out of the code.
package exampleconfig

import (
	_ "embed"

	"github.com/tidwall/gjson"
)

// Settings is the object settings of a configuration, in the platform's form.
//
//go:embed settings.json
var Settings []byte

// Shape is the traffic, in the form of a shape of loadtest load.
//
//go:embed shape.json
var Shape []byte

// Names are the names of classes, plans and zones in the examples, in their order.
func Names() (names []string) {
	for _, path := range []string{"profiles.#.name", "contracts.#.name", "my-zone"} {
		r := gjson.GetBytes(Settings, path)
		for _, n := range r.Array() {
			names = append(names, n.Str)
		}
	}
	for _, path := range []string{"classes.#.name", "plans.#.name"} {
		for _, n := range gjson.GetBytes(Shape, path).Array() {
			names = append(names, n.Str)
		}
	}
	return names
}
