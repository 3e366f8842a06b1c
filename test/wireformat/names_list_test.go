package wireformat

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"slices"
	"strings"
)

// outerName is a name that leaves a process, and where the sources have it.
type outerName struct {
	kind  string
	name  string
	place string
}

// collection gathers names by kind. A name that stands in several places is kept once for each,
// so that a rename in one of them is found.
type collection struct {
	module *module
	names  map[string][]outerName
	faults []string
}

// add records a name that stands at a position.
func (c *collection) add(kind, name string, pos token.Pos) {
	c.names[kind] = append(c.names[kind], outerName{kind, name, c.module.fset.Position(pos).String()})
}

// faultf records that the collector does not find what it looks for.
func (c *collection) faultf(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// collect gathers the names of all kinds from a module.
func collect(m *module) *collection {
	c := &collection{module: m, names: map[string][]outerName{}}
	for _, gather := range []func(*collection){
		collectTags, collectUntaggedFields, collectMapKeys, collectServices, collectCalledMethods,
		collectRoutes, collectRequests, collectParameters, collectHeaders, collectStatusCodes,
		collectCommands, collectFlags, collectArguments, collectEnvironment,
		collectConstants, collectStateKeys, collectIdentifierFormats, collectPlaces,
		collectClusterVersions, collectIntegers, collectLogTable, collectLogCalls, collectDeployedTOML,
	} {
		gather(c)
	}
	return c
}

// format writes the names as the list has them: by kind, sorted, one a line.
func (c *collection) format() string {
	var b strings.Builder
	for i, kind := range slices.Sorted(maps.Keys(c.names)) {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "# %s\n", kind)
		var names []string
		for _, found := range c.names[kind] {
			names = append(names, found.name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintln(&b, name)
		}
	}
	return b.String()
}

// parseList reads a list and returns how often it has each name, by kind.
func parseList(text string) map[string]map[string]int {
	listed := map[string]map[string]int{}
	kind := ""
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if heading, ok := strings.CutPrefix(line, "# "); ok {
			kind = heading
			listed[kind] = map[string]int{}
		} else if line != "" {
			listed[kind][line]++
		}
	}
	return listed
}

// differences compares a list with the collected names. Each line names what was renamed, added
// or removed.
func (c *collection) differences(list string) []string {
	listed := parseList(list)
	found := map[string]map[string][]string{}
	for kind, names := range c.names {
		found[kind] = map[string][]string{}
		for _, n := range names {
			found[kind][n.name] = append(found[kind][n.name], n.place)
		}
	}
	report := slices.Clone(c.faults)
	for kind, names := range listed {
		for name, count := range names {
			if places := found[kind][name]; len(places) < count {
				report = append(report, fmt.Sprintf("%s: %q is listed %d times and stands in %d places %v",
					kind, name, count, len(places), places))
			}
		}
	}
	for kind, names := range found {
		for name, places := range names {
			if count := listed[kind][name]; len(places) > count {
				report = append(report, fmt.Sprintf("%s: %q is listed %d times and stands in %d places %v",
					kind, name, count, len(places), places))
			}
		}
	}
	slices.Sort(report)
	return report
}

// eachNode visits the nodes of the files of all packages.
func (c *collection) eachNode(visit func(f *goFile, node ast.Node)) {
	for _, dir := range slices.Sorted(maps.Keys(c.module.packages)) {
		for _, f := range c.module.packages[dir].files {
			ast.Inspect(f.syntax, func(node ast.Node) bool {
				if node != nil {
					visit(f, node)
				}
				return true
			})
		}
	}
}

// in is a kind of names that is listed for each package.
func in(kind string, f *goFile) string { return kind + ", " + f.pkg.dir }
