package soak

// modes returns how a cut treats both directions of a link.
func (f *Fault) modes() (server, client linkMode) {
	switch {
	case f.mode == linkReset || f.oneDirection == directions:
		return f.mode, f.mode
	case f.oneDirection == toServer:
		return f.mode, linkOpen
	}
	return linkOpen, f.mode
}

// cutLinks cuts links as the fault says.
func cutLinks(f *Fault, links ...*link) injection {
	before := countAffected(links)
	server, client := f.modes()
	for _, l := range links {
		l.setModes(server, client)
	}
	return injection{func() {
		for _, l := range links {
			l.setModes(linkOpen, linkOpen)
		}
	}, func() int { return countAffected(links) - before }}
}

func countAffected(links []*link) (n int) {
	for _, l := range links {
		n += l.affectedCount()
	}
	return n
}

func cutState(c *cluster, f *Fault) injection { return cutLinks(f, c.links.state[f.host]) }

func cutPeers(c *cluster, f *Fault) injection { return cutLinks(f, c.links.ofPeers(f.host)...) }

func cutAllPeers(c *cluster, f *Fault) injection { return cutLinks(f, c.links.allPeers()...) }

func cutStateAndPeers(c *cluster, f *Fault) injection {
	return cutLinks(f, append(c.links.ofPeers(f.host), c.links.state[f.host])...)
}

func cutPair(c *cluster, f *Fault) injection {
	if f.host == f.other {
		return injection{func() {}, constant(0)}
	}
	return cutLinks(f, c.links.peers[f.host][f.other], c.links.peers[f.other][f.host])
}

func cutWorkers(c *cluster, f *Fault) injection { return cutLinks(f, c.links.workers[f.host]) }

func cutUsers(c *cluster, f *Fault) injection { return cutLinks(f, c.links.users[f.host]) }

func cutCloud(c *cluster, f *Fault) injection { return cutLinks(f, c.links.cloud...) }

func slowPeers(c *cluster, f *Fault) injection {
	links := c.links.allPeers()
	for _, l := range links {
		l.setDelay(f.delay / 2)
	}
	return injection{func() {
		for _, l := range links {
			l.setDelay(0)
		}
	}, constant(len(links))}
}
