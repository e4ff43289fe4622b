package consensus

func (n *Node) broadcastAppend() {
	n.forEachPeer(n.sendAppends)
}

// sendAppends sends the entries that a replica lacks, up to the limit of
// unanswered messages.
func (n *Node) sendAppends(to ID, p *peer) {
	for !p.isPaused && p.state != installing && len(p.inflight) < n.options.MaxInflightAppends && p.nextIndex <= n.log.lastIndex() {
		n.sendAppend(to, p)
	}
}

func (n *Node) sendAppend(to ID, p *peer) {
	term, ok := n.log.term(p.nextIndex - 1)
	if !ok {
		n.startInstall(to, p)
		return
	}
	entries := n.log.slice(p.nextIndex, n.log.lastIndex(), n.options.MaxAppendBytes)
	n.send(Message{Kind: Append, To: to, Index: p.nextIndex - 1, LogTerm: term, Commit: n.log.commitIndex, Entries: entries})
	if p.state == probing {
		p.isPaused = true
		return
	}
	p.nextIndex += uint64(len(entries))
	p.inflight = append(p.inflight, p.nextIndex-1)
}

// sendCommit sends the new commit index to a replica whose log is in sync.
func (n *Node) sendCommit(to ID, p *peer) {
	if p.state != streaming {
		return
	}
	term, ok := n.log.term(p.nextIndex - 1)
	if ok {
		n.send(Message{Kind: Append, To: to, Index: p.nextIndex - 1, LogTerm: term, Commit: n.log.commitIndex})
	}
}

func (n *Node) handleFollowerMessage(m Message) {
	p := n.leaderState.peers[m.From]
	if p == nil {
		return
	}
	p.lastReplyAt = n.now
	switch m.Kind {
	case AppendReply:
		n.handleAppendReply(m, p)
	case HeartbeatReply:
		p.ackedHeartbeat = max(p.ackedHeartbeat, m.Sequence)
		n.handleHeartbeatAcks()
		n.resend(m.From, p)
	case InstallReply:
		n.handleInstallReply(m, p)
	case StopNotice:
		p.stopNoticeAt, p.hasStopNotice = n.now, true
	case ReadIndex:
		n.startRead(pendingRead{id: m.Sequence, from: m.From})
	}
}

func (n *Node) handleAppendReply(m Message, p *peer) {
	if m.Reject {
		n.handleAppendRejection(m, p)
		return
	}
	p.isPaused = false
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.lastProgressAt = n.now
	}
	if p.state == installing && p.matchIndex < p.installMeta.Index {
		return
	}
	if p.state != streaming {
		p.state = streaming
		p.nextIndex = p.matchIndex + 1
		p.inflight = nil
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inflight) > 0 && p.inflight[0] <= m.Index {
		p.inflight = p.inflight[1:]
	}
	n.advanceCommit()
	n.tryTransfer(m.From, p)
	n.sendAppends(m.From, p)
}

func (n *Node) handleAppendRejection(m Message, p *peer) {
	if p.state == installing || m.Index <= p.matchIndex {
		return
	}
	p.state = probing
	p.inflight = nil
	p.isPaused = false
	p.nextIndex = max(min(m.Index, m.Hint+1), p.matchIndex+1)
	n.sendAppends(m.From, p)
}

// resend returns to probing, or repeats the snapshot chunk, if there has been
// no progress for ResendDelayTicks: a message must have been lost.
func (n *Node) resend(to ID, p *peer) {
	if p.matchIndex >= n.log.lastIndex() || n.now < p.lastProgressAt+n.options.ResendDelayTicks {
		n.sendAppends(to, p)
		return
	}
	p.lastProgressAt = n.now
	if p.state == installing {
		n.sendChunk(to, p)
		return
	}
	p.state = probing
	p.inflight = nil
	p.isPaused = false
	p.nextIndex = p.matchIndex + 1
	n.sendAppends(to, p)
}

func (n *Node) startInstall(to ID, p *peer) {
	p.state = installing
	p.installMeta = n.log.snapshot
	p.installOffset = 0
	p.lastProgressAt = n.now
	n.sendChunk(to, p)
}

func (n *Node) sendChunk(to ID, p *peer) {
	if p.installMeta.Index != n.log.snapshot.Index {
		p.installMeta = n.log.snapshot
		p.installOffset = 0
	}
	size := min(n.options.ChunkBytes, p.installMeta.Size-p.installOffset)
	n.send(Message{Kind: InstallChunk, To: to, Chunk: &Chunk{Meta: p.installMeta, Offset: p.installOffset, Length: size}})
}

func (n *Node) handleInstallReply(m Message, p *peer) {
	if p.state != installing || m.Index != p.installMeta.Index || m.Hint > p.installMeta.Size || m.Hint == p.installOffset {
		return
	}
	p.installOffset = m.Hint
	p.lastProgressAt = n.now
	n.sendChunk(m.From, p)
}

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	from ID
	term uint64
	meta SnapshotMeta
	data []byte
}

func (n *Node) handleChunk(m Message) {
	c := m.Chunk
	if c == nil || uint64(len(c.Data)) != c.Length {
		return
	}
	if c.Meta.Index <= n.log.commitIndex {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.log.commitIndex})
		return
	}
	incoming := &n.incomingSnapshot
	if incoming.from != m.From || incoming.term != m.Term || incoming.meta.Index != c.Meta.Index {
		*incoming = incomingSnapshot{from: m.From, term: m.Term, meta: c.Meta}
	}
	if c.Offset == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, c.Data...)
	}
	if uint64(len(incoming.data)) < incoming.meta.Size {
		n.send(Message{Kind: InstallReply, To: m.From, Index: incoming.meta.Index, Hint: uint64(len(incoming.data))})
		return
	}
	n.receivedSnapshot = &Snapshot{Meta: incoming.meta, Data: incoming.data}
	*incoming = incomingSnapshot{}
	n.log.restore(n.receivedSnapshot.Meta)
	n.membership.reset(n.receivedSnapshot.Meta)
	n.send(Message{Kind: AppendReply, To: m.From, Index: n.log.commitIndex})
}
