package bulrushhinge

import (
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

// priorityLister runs the lister after all plug-ins that change the list.
const priorityLister = 10_000

type (
	// lister is a kernel plug-in that keeps the instance list in force, to serve
	// it to nodes that start while the platform is down.
	lister struct {
		list atomic.Pointer[kernel.Listed]
	}

	// localValues serves the node's copies of the platform's values to its peers.
	localValues struct {
		cache  *platform.Cache
		lister *lister
	}
)

// Extend registers the plug-in.
func (l *lister) Extend(k *kernel.Kernel) { k.Register(l, priorityLister) }

// Handle stores the newest list.
func (l *lister) Handle(_ time.Time, ev kernel.Event, _ *kernel.Output) {
	if listed, ok := ev.(kernel.Listed); ok {
		l.list.Store(&listed)
	}
}

// Publish adds nothing to views.
func (l *lister) Publish(time.Time, *kernel.View) {}

// Value returns the value of a key, or nil if there is none.
func (v localValues) Value(key string) []byte {
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

// joinGetters returns a getter for each node of Config.Join.
func (n *Node) joinGetters() []platform.Getter {
	var list []platform.Getter
	for _, addr := range n.config.Join {
		list = append(list, peerValues{peers: n.peers, addr: addr})
	}
	return list
}
