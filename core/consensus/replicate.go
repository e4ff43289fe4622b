package consensus

func (n *Node) broadcastAppend() {
	n.eachPeer(n.sendAppends)
}

// sendAppends sends what the replica lacks, as far as the window allows.
func (n *Node) sendAppends(to ID, p *peer) {
	for !p.paused && p.state != installing && len(p.inflight) < n.opt.Inflight && p.next <= n.log.last() {
		n.sendAppend(to, p)
	}
}

func (n *Node) sendAppend(to ID, p *peer) {
	term, ok := n.log.term(p.next - 1)
	if !ok {
		n.startInstall(to, p)
		return
	}
	entries := n.log.slice(p.next, n.log.last(), n.opt.AppendBytes)
	n.send(Message{Kind: Append, To: to, Index: p.next - 1, LogTerm: term, Commit: n.log.commit, Entries: entries})
	if p.state == probing {
		p.paused = true
		return
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

// sendCommit tells a replica that is up to date of a new commit index.
func (n *Node) sendCommit(to ID, p *peer) {
	if p.state != streaming {
		return
	}
	term, ok := n.log.term(p.next - 1)
	if ok {
		n.send(Message{Kind: Append, To: to, Index: p.next - 1, LogTerm: term, Commit: n.log.commit})
	}
}

func (n *Node) onFollower(m Message) {
	p := n.lead.peers[m.From]
	if p == nil {
		return
	}
	p.heard = n.now
	switch m.Kind {
	case AppendReply:
		n.onAppendReply(m, p)
	case HeartbeatReply:
		p.answered = max(p.answered, m.Sequence)
		n.settleRounds()
		n.resend(m.From, p)
	case InstallReply:
		n.onInstallReply(m, p)
	case ReadIndex:
		n.leaderRead(pendingRead{id: m.Sequence, from: m.From})
	}
}

func (n *Node) onAppendReply(m Message, p *peer) {
	if m.Reject {
		n.onRefused(m, p)
		return
	}
	p.paused = false
	if m.Index > p.match {
		p.match = m.Index
		p.progressed = n.now
	}
	if p.state == installing && p.match < p.installMeta.Index {
		return
	}
	if p.state != streaming {
		p.state = streaming
		p.next = p.match + 1
		p.inflight = nil
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= m.Index {
		p.inflight = p.inflight[1:]
	}
	n.advanceCommit()
	n.tryTransfer(m.From, p)
	n.sendAppends(m.From, p)
}

func (n *Node) onRefused(m Message, p *peer) {
	if p.state == installing || m.Index <= p.match {
		return
	}
	p.state = probing
	p.inflight = nil
	p.paused = false
	p.next = max(min(m.Index, m.Hint+1), p.match+1)
	n.sendAppends(m.From, p)
}

// resend goes back to probing where something sent must have been lost.
func (n *Node) resend(to ID, p *peer) {
	if p.match >= n.log.last() || n.now < p.progressed+n.opt.ResendTicks {
		n.sendAppends(to, p)
		return
	}
	p.progressed = n.now
	if p.state == installing {
		n.sendChunk(to, p)
		return
	}
	p.state = probing
	p.inflight = nil
	p.paused = false
	p.next = p.match + 1
	n.sendAppends(to, p)
}

func (n *Node) startInstall(to ID, p *peer) {
	p.state = installing
	p.installMeta = n.log.base
	p.offset = 0
	p.progressed = n.now
	n.sendChunk(to, p)
}

func (n *Node) sendChunk(to ID, p *peer) {
	if p.installMeta.Index != n.log.base.Index {
		p.installMeta = n.log.base
		p.offset = 0
	}
	size := min(n.opt.ChunkBytes, p.installMeta.Size-p.offset)
	n.send(Message{Kind: InstallChunk, To: to, Chunk: &Chunk{Meta: p.installMeta, Offset: p.offset, Length: size}})
}

func (n *Node) onInstallReply(m Message, p *peer) {
	if p.state != installing || m.Index != p.installMeta.Index || m.Hint > p.installMeta.Size || m.Hint == p.offset {
		return
	}
	p.offset = m.Hint
	p.progressed = n.now
	n.sendChunk(m.From, p)
}

// incoming is a snapshot that arrives in chunks.
type incoming struct {
	from ID
	term uint64
	meta Meta
	data []byte
}

func (n *Node) onChunk(m Message) {
	c := m.Chunk
	if c == nil || uint64(len(c.Data)) != c.Length {
		return
	}
	if c.Meta.Index <= n.log.commit {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.log.commit})
		return
	}
	in := &n.incoming
	if in.from != m.From || in.term != m.Term || in.meta.Index != c.Meta.Index {
		*in = incoming{from: m.From, term: m.Term, meta: c.Meta}
	}
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
	if uint64(len(in.data)) < in.meta.Size {
		n.send(Message{Kind: InstallReply, To: m.From, Index: in.meta.Index, Hint: uint64(len(in.data))})
		return
	}
	n.install = &Snapshot{Meta: in.meta, Data: in.data}
	*in = incoming{}
	n.log.restore(n.install.Meta)
	n.conf.reset(n.install.Meta)
	n.send(Message{Kind: AppendReply, To: m.From, Index: n.log.commit})
}
