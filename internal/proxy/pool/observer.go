package pool

// Observer is told what happens to a pool's connections. Its methods are called while the
// pool is locked: they must not block or use the pool.
type Observer interface {
	// ConnOpened: a connection was opened for a statement.
	ConnOpened()
	// ConnHeld: the number of connections that are open or being opened changed. hasWorkspace
	// is set for those of workspaces.
	ConnHeld(hasWorkspace bool, change int)
	// ConnEvicted: an idle connection of a workspace was closed, so that one can be opened for
	// another workspace.
	ConnEvicted(workspace string)
	// ConnBounded: a statement has to wait because its workspace uses as many connections as it
	// may.
	ConnBounded(workspace string)
}

// Observe sets the observer. It must be called before the pool is used.
func (p *Pool) Observe(o Observer) { p.observer = o }

// noObserver ignores everything.
type noObserver struct{}

func (noObserver) ConnOpened()        {}
func (noObserver) ConnHeld(bool, int) {}
func (noObserver) ConnEvicted(string) {}
func (noObserver) ConnBounded(string) {}

// countOpen counts a connection that is open or about to be opened. mu must be held.
func (p *Pool) countOpen(workspace string) {
	p.open++
	p.book.Open(workspace)
	p.observer.ConnHeld(workspace != "", 1)
}

// countClosed no longer counts a connection as open. mu must be held.
func (p *Pool) countClosed(workspace string) {
	p.open--
	p.book.Close(workspace)
	p.observer.ConnHeld(workspace != "", -1)
}
