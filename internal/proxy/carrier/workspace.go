package carrier

// Demands are the limits of workspaces, from which their shares of the load are derived. They
// must not be changed once they are in use.
type Demands struct {
	rates map[string]float64
	total float64
}

// NewDemands returns demands from operations per second by workspace. A rate of 0 stands for a
// workspace without a limit.
func NewDemands(rates map[string]float64) *Demands {
	d := &Demands{rates: rates}
	for _, rate := range rates {
		d.total += rate
	}
	return d
}

// IsLarge reports whether a workspace needs a connection at each carrier of an endpoint. limit
// is the endpoint's connection limit. A workspace that is not known or has no limit is large.
func (d *Demands) IsLarge(workspace string, limit, carriers int) bool {
	rate := d.rates[workspace]
	if rate <= 0 {
		return true
	}
	return rate/d.total*float64(max(0, limit-reservedConns)) >= float64(carriers)
}

// Pinned returns an endpoint's carriers in mode Home in the order in which every entry asks them
// for connections of a workspace. The first holds the workspace's connections; the others are
// asked when it does not answer.
func Pinned(endpoint, workspace string, carriers []string) []string {
	return Rank(endpoint+"\x00"+workspace, carriers)
}

// Preferred returns the endpoint of a service that most likely holds connections of a workspace
// for reads, or "" if there are no endpoints.
func Preferred(service, workspace string, endpoints []string) string {
	if len(endpoints) == 0 {
		return ""
	}
	return Rank(service+"\x00"+workspace, endpoints)[0]
}
