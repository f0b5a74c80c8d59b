package proxy

// MarkCount returns the number of watermarks held for a service.
func (s *Server) MarkCount(service string) int {
	st := s.service(service)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.marks.Len()
}

// ShareOf makes share available to tests.
var ShareOf = share
