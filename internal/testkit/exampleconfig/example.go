// Package exampleconfig holds the test kit's example configuration as data: the settings of its schedulers, and the shape
// of the traffic that is sent if none is given. The test kit takes its classes, plans and figures from here; they belong
// to no deployment. A test ensures that their names, and those of known deployments, do not occur in the code.
package exampleconfig

import (
	_ "embed"

	"github.com/tidwall/gjson"
)

// Settings is the object "settings" of a configuration, in the platform's format.
//
//go:embed settings.json
var Settings []byte

// Shape is the shape of the traffic, in the format that loadtest load reads.
//
//go:embed shape.json
var Shape []byte

// Names returns the names of the classes, plans and zones in the examples, in their order.
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
