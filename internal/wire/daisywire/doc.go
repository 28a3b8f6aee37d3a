// Package daisywire holds the wire types, generated from schema/wire.schema.json.
// Package daisycodec maps them to the domain types.
package daisywire
