package main

import (
	"io"
	"net"
	"sync"
)

// link is the path between the nodes and one worker. While it is cut, bytes are held up
// and delivered later, as by a network that loses packets which are sent again.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	healed   *sync.Cond
	cut      bool
}

func newLink(ip, to string) (*link, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to}
	k.healed = sync.NewCond(&k.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.connect(c)
		}
	}()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

// connect connects a channel with the worker. If that refuses it, so does the link.
func (k *link) connect(from net.Conn) {
	to, err := net.Dial("tcp4", k.to)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { k.copy(to, from) })
	both.Go(func() { k.copy(from, to) })
	both.Wait()
	_ = from.Close()
	_ = to.Close()
}

// copy passes on bytes and the end of them, or a reset.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.wait()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		_ = to.(*net.TCPConn).SetLinger(0)
		_ = to.Close()
		return
	}
}

func (k *link) wait() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut {
		k.healed.Wait()
	}
}

func (k *link) set(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.healed.Broadcast()
}
