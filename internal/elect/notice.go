package elect

import (
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
)

// NoticeKey is a key that a leader may write in a transaction. Every instance notes when it first saw the latest revision of this key,
// and so knows a least age of that transaction on its own clock.
const NoticeKey = Prefix + "notice"

// noticeSeen is the latest revision of NoticeKey that this instance has seen.
type noticeSeen struct {
	revision kv.Revision
	at       clock.Instant // when it was first seen; the transaction was executed earlier
}

// noteNotice records a revision of NoticeKey when it is first seen; e.mu is held.
func (e *Elector) noteNotice(revision kv.Revision) {
	if revision > e.notice.revision {
		e.notice = noticeSeen{revision: revision, at: e.Now()}
	}
}

// NoticeSeen returns the latest revision of NoticeKey that this instance has seen, and when it first saw it; 0 if it saw none.
func (e *Elector) NoticeSeen() (kv.Revision, clock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notice.revision, e.notice.at
}
