package daisywire

//go:generate go run -C ../../../tools/schema github.com/atombender/go-jsonschema --only-models --struct-name-from-title --tags json --capitalization ID --package daisywire --output ../../internal/wire/daisywire/schema.go ../../schema/wire.schema.json
