package config

// workspaceIndex maps names and key hashes to positions in Config.Workspaces.
// Merge builds it once and it never changes.
type workspaceIndex struct {
	byName map[string]int
	byKey  map[string]int
}

// newWorkspaceIndex builds the index. If two workspaces share a name or key,
// which Check rejects, the first one is found.
func newWorkspaceIndex(c *Config) *workspaceIndex {
	x := &workspaceIndex{byName: make(map[string]int, len(c.Workspaces)), byKey: map[string]int{}}
	for i := len(c.Workspaces) - 1; i >= 0; i-- {
		w := c.Workspaces[i]
		x.byName[w.Name] = i
		for _, k := range w.Keys {
			x.byKey[k] = i
		}
	}
	return x
}

// workspaceIndex returns the index that Merge built, or a temporary one for a
// Config built without Merge. The latter is not stored, because many goroutines
// read a Config concurrently.
func (c *Config) workspaceIndex() *workspaceIndex {
	if c.index != nil {
		return c.index
	}
	return newWorkspaceIndex(c)
}

// Workspace returns the named workspace, and false if there is none.
func (c *Config) Workspace(name string) (Workspace, bool) {
	i, ok := c.workspaceIndex().byName[name]
	if !ok {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// WorkspaceByKey returns the workspace that lists a key's hash, and false if
// there is none.
func (c *Config) WorkspaceByKey(hash string) (Workspace, bool) {
	i, ok := c.workspaceIndex().byKey[hash]
	if !ok {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}
