package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// Load reads and checks the settings file. Its error names the file and every invalid field.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return settings, nil
}

// Parse decodes and checks settings in JSON. Data after the first JSON value is ignored. Its error
// names every invalid field.
func Parse(raw []byte) (*Settings, error) {
	var wire wireSettings
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&wire); err != nil {
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	settings := wire.settings()
	if err := validate(&wire, settings); err != nil {
		return nil, err
	}
	return settings, nil
}
