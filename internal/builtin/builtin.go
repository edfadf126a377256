// Package builtin lists the kernel plug-ins that every node runs, with their
// defaults. The root package and the replay both use it.
package builtin

import (
	"bulrushhinge.example/bulrushhinge/internal/capacity"
	"bulrushhinge.example/bulrushhinge/internal/config"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/leave"
	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/internal/membership"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/poison"
	"bulrushhinge.example/bulrushhinge/internal/pool"
	"bulrushhinge.example/bulrushhinge/internal/roster"
)

// Config is the settings of the built-in plug-ins; zero values are defaults.
type Config struct {
	Config     config.Config
	Membership membership.Config
	Pool       pool.Config
	Roster     roster.Config
	Mark       leave.Config
	Limit      limit.Config
	Capacity   capacity.Config
	Gate       permit.Config
	Poison     poison.Config
}

// New returns a kernel with the built-in plug-ins and further ones, and the gate
// that grants permits. The pool plug-in sends the gate's loads to other nodes.
func New(self kernel.Node, c Config, more ...kernel.Extension) (*kernel.Kernel, *permit.Gate) {
	var k *kernel.Kernel
	c.Gate.View = func() *kernel.View { return k.View() }
	permits := permit.New(c.Gate)
	c.Pool.Admitted = permits.Loads
	k = kernel.New(kernel.Config{Self: self, Extensions: append([]kernel.Extension{
		config.New(c.Config),
		roster.New(c.Roster),
		leave.New(c.Mark),
		membership.New(c.Membership),
		pool.New(c.Pool),
		limit.New(c.Limit),
		capacity.New(c.Capacity),
		poison.New(c.Poison),
	}, more...)})
	return k, permits
}
