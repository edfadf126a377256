package bulrushhinge

import (
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

// priorityLister comes after all plug-ins that change the list.
const priorityLister = 10_000

type (
	// lister is a kernel's plug-in that keeps the instance list in force for
	// nodes that start while the platform is down.
	lister struct {
		list atomic.Pointer[kernel.Listed]
	}

	// values is what a node tells its peers of the platform's values.
	values struct {
		cache  *platform.Cache
		lister *lister
	}
)

// Extend registers the plug-in.
func (l *lister) Extend(k *kernel.Kernel) { k.Register(l, priorityLister) }

// Handle keeps the newest list.
func (l *lister) Handle(_ time.Time, ev kernel.Event, _ *kernel.Output) {
	if listed, ok := ev.(kernel.Listed); ok {
		l.list.Store(&listed)
	}
}

// Publish adds nothing to views.
func (l *lister) Publish(time.Time, *kernel.View) {}

// Value returns a value by its key, nil where there is none.
func (v values) Value(key string) []byte {
	if key != platform.KeyInstances {
		return v.cache.Value(key)
	}
	l := v.lister.list.Load()
	if l == nil {
		return nil
	}
	data, err := platform.EncodeList(kernel.Instances(*l))
	if err != nil {
		return nil
	}
	return data
}

// joins returns the getters of nodes that a starting node may ask.
func (n *Node) joins() []platform.Getter {
	var list []platform.Getter
	for _, addr := range n.config.Join {
		list = append(list, valuesOf{peers: n.peers, addr: addr})
	}
	return list
}
