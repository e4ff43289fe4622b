package config

// index finds workspaces without a walk through all of them. It is built once,
// when files are merged, and never changes.
type index struct {
	byName map[string]int
	byKey  map[string]int
}

// newIndex prepares the lookups by name and key. Where two workspaces share a
// name or key, which Check refuses, the first counts.
func newIndex(c *Config) *index {
	x := &index{byName: make(map[string]int, len(c.Workspaces)), byKey: map[string]int{}}
	for i := len(c.Workspaces) - 1; i >= 0; i-- {
		w := c.Workspaces[i]
		x.byName[w.Name] = i
		for _, k := range w.Keys {
			x.byKey[k] = i
		}
	}
	return x
}

// lookups returns the index that Merge built, or a passing one for a Config
// that was put together by hand; a Config is read by many goroutines at once,
// so nothing is stored here.
func (c *Config) lookups() *index {
	if c.index != nil {
		return c.index
	}
	return newIndex(c)
}

// Workspace finds a workspace by name.
func (c *Config) Workspace(name string) (Workspace, bool) {
	i, ok := c.lookups().byName[name]
	if !ok {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// WorkspaceByKey finds the workspace that lists a key's hash.
func (c *Config) WorkspaceByKey(hash string) (Workspace, bool) {
	i, ok := c.lookups().byKey[hash]
	if !ok {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}
