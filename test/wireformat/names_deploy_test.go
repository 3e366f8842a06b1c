package wireformat

import (
	"path"

	"github.com/pelletier/go-toml/v2"
)

// collectDeployedTOML collects the keys of the deployed TOML files, once for each directory.
func collectDeployedTOML(c *collection) {
	seen := map[string]bool{}
	for file, text := range c.module.toml {
		var content map[string]any
		if err := toml.Unmarshal([]byte(text), &content); err != nil {
			c.errorf("%s: %v", file, err)
			continue
		}
		kind := "key of " + path.Dir(file) + "/*.toml"
		eachKey("", content, func(key string) {
			if !seen[kind+key] {
				seen[kind+key] = true
				c.names[kind] = append(c.names[kind], externalName{kind, key, file})
			}
		})
	}
}

// eachKey calls visit for the keys of a table and of its nested tables. Nested keys are joined by
// dots.
func eachKey(prefix string, value any, visit func(key string)) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			visit(prefix + name)
			eachKey(prefix+name+".", inner, visit)
		}
	case []any:
		for _, inner := range value {
			eachKey(prefix, inner, visit)
		}
	}
}
