package operator

// Paths of the replicas and the durable state.
const (
	// PathReplicas returns a list of Replica by GET; DELETE with ?name= removes a
	// replica from the group first.
	PathReplicas = "/operator/v1/replicas"
	// PathBackup returns a Backup.
	PathBackup = "/operator/v1/backup"
)

// Backup is an encoded snapshot of the durable state.
type Backup struct {
	Snapshot []byte `json:"snapshot"`
}

// Replica is the position of one replica in the log, as it reports it.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is "leader", "follower", "candidate", or "new" before it has joined.
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader,omitempty"`
	// Last, Committed and Applied are log indexes.
	Last      uint64 `json:"last"`
	Committed uint64 `json:"committed"`
	Applied   uint64 `json:"applied"`
	// Version is the configuration version that the replica has applied.
	Version uint64 `json:"version"`
	// Lag is the number of log entries that the replica lacks, as the leader knows
	// it.
	Lag uint64 `json:"lag"`
	// Voter means that the replica counts towards the quorum.
	Voter bool `json:"voter"`
	// Error says why the replica doesn't answer or makes no progress.
	Error string `json:"error,omitempty"`
}
