package gateway

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/errkind"
)

// logInterval is the least time between two log lines for refusals of one kind.
const logInterval = time.Second

// refusalLog logs refusals once per kind and interval, with the number left out.
type refusalLog struct {
	entry *logrus.Entry
	kinds map[errkind.Kind]*kindLog
}

type kindLog struct {
	next    atomic.Int64 // unix nanoseconds of the next line
	omitted atomic.Int64
}

func newRefusalLog(entry *logrus.Entry) *refusalLog {
	l := &refusalLog{entry: entry, kinds: make(map[errkind.Kind]*kindLog)}
	for _, k := range errkind.Kinds() {
		l.kinds[k] = new(kindLog)
	}
	return l
}

func (l *refusalLog) log(e *errkind.Error) {
	k := l.kinds[e.Kind]
	if k == nil {
		k = l.kinds[errkind.Internal]
	}
	now := time.Now().UnixNano()
	next := k.next.Load()
	if now < next || !k.next.CompareAndSwap(next, now+int64(logInterval)) {
		k.omitted.Add(1)
		return
	}
	line := l.entry.WithField("kind", e.Kind)
	if n := k.omitted.Swap(0); n > 0 {
		line = line.WithField("omitted", n)
	}
	line.Info("Refused a request: " + e.Message)
}
