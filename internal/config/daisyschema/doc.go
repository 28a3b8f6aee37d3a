// Package daisyschema holds the types of the settings file, generated from
// schema/settings.schema.json. Package daisysettings checks and maps them.
package daisyschema

//go:generate go run -C ../../../tools/schema github.com/atombender/go-jsonschema --only-models --struct-name-from-title --tags json --capitalization TLS --package daisyschema --output ../../internal/config/daisyschema/schema.go ../../schema/settings.schema.json
