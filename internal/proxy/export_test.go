package proxy

// MarkCount returns how many watermarks of a service are kept.
func (s *Server) MarkCount(service string) int {
	st := s.service(service)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.marks.Len()
}

// ShareOf is share, for tests.
var ShareOf = share
