package overlay

import (
	"hash/fnv"
	"math"
	"strings"
)

// Topics are mapped to the unit square as in VAST's spatial publish/subscribe: each
// part of a topic's path selects a square in a grid inside the square of the part
// before it. A prefix is therefore one square, and the squares of all topics under the
// prefix lie inside it. A peer's reference point lies inside its area at a position
// derived from a hash of its daemon's name and its number, so that two peers hardly
// ever have the same point.
const (
	gridBits = 8
	gridSide = 1 << gridBits
	// maxDepth is the number of parts of a path that are used; paths that differ only in
	// later parts have the same square.
	maxDepth = 4
)

// Point is a point in the unit square.
type Point struct {
	_ struct{} `cbor:",toarray"`
	X float64
	Y float64
}

// Area is a square in the unit square, given by the corner with the lowest coordinates
// and its width.
type Area struct {
	_    struct{} `cbor:",toarray"`
	X    float64
	Y    float64
	Size float64
}

// WholeSquare is the unit square, the area of all topics.
var WholeSquare = Area{Size: 1}

// AreaOf returns the square of a topic, or of a prefix without its trailing slash. The
// empty path has the unit square.
func AreaOf(path string) Area {
	area := WholeSquare
	if path == "" {
		return area
	}
	// The hash includes all previous parts of the path. Otherwise parts with the same
	// name under two prefixes with the same square would have the same square too.
	sum := fnv.New64a()
	for depth, part := range strings.Split(path, "/") {
		if depth == maxDepth {
			break
		}
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{'/'})
		mixed := sum.Sum64()
		mixed ^= mixed >> 29
		mixed *= 0xbf58476d1ce4e5b9
		mixed ^= mixed >> 32
		area.Size /= gridSide
		area.X += float64(mixed%gridSide) * area.Size
		area.Y += float64(mixed>>gridBits%gridSide) * area.Size
	}
	return area
}

// Contains reports whether a point lies inside the area.
func (a Area) Contains(point Point) bool {
	return point.X >= a.X && point.X < a.X+a.Size && point.Y >= a.Y && point.Y < a.Y+a.Size
}

// Covers reports whether another area lies inside this one or equals it. Areas are
// squares of nested grids: of two areas, one covers the other, or they are disjoint.
func (a Area) Covers(other Area) bool {
	return a.Size >= other.Size && a.Contains(Point{X: other.X + other.Size/2, Y: other.Y + other.Size/2})
}

// reference returns the reference point of a peer, in the middle four fifths of the area
// on each axis.
func (a Area) reference(daemon string, number uint64) Point {
	return a.scatter(daemon, number, 0.1, 0.8)
}

// scatter returns a point at a position derived from a hash. On both axes it lies
// between from and from+width, as fractions of the area's width.
func (a Area) scatter(daemon string, number uint64, from, width float64) Point {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(daemon))
	mixed := sum.Sum64() + number*0x9e3779b97f4a7c15
	mixed ^= mixed >> 30
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 27
	mixed *= 0x94d049bb133111eb
	mixed ^= mixed >> 31
	dx, dy := float64(mixed>>40)/(1<<24), float64(mixed>>16&0xffffff)/(1<<24)
	return Point{X: a.X + a.Size*(from+width*dx), Y: a.Y + a.Size*(from+width*dy)}
}

// distance returns the squared distance between two points, which is sufficient for
// comparisons.
func distance(left, right Point) float64 {
	dx, dy := left.X-right.X, left.Y-right.Y
	return dx*dx + dy*dy
}

// Region is a peer's Voronoi region, clipped to the unit square. Its corners are listed
// in order around it, relative to middle, the peer's reference point. The owner of an
// edge is the enclosing neighbour beyond it; edges on the border of the unit square
// have no owner.
type Region struct {
	middle  Point
	corners []corner
}

// corner is a corner of a polygon, with the owner of the edge that starts at it.
type corner struct {
	x, y float64
	// owner is the neighbour beyond the edge from this corner to the next one, empty
	// on the border of the unit square; ownerPoint is the owner's reference point.
	owner      PeerKey
	ownerPoint Point
}

// newRegion returns the region of a peer without neighbours: the unit square.
func newRegion(middle Point) Region {
	left, low, right, high := -middle.X, -middle.Y, 1-middle.X, 1-middle.Y
	return Region{middle: middle, corners: []corner{{x: left, y: low}, {x: right, y: low}, {x: right, y: high}, {x: left, y: high}}}
}

// side returns a positive number if a corner is nearer to another point than to the
// middle. The other point is given relative to the middle.
func (r *Region) side(at corner, dx, dy float64) float64 {
	return at.x*dx + at.y*dy - (dx*dx+dy*dy)/2
}

// cuts reports whether a peer at another point would take over part of the region.
func (r *Region) cuts(other Point) bool {
	dx, dy := other.X-r.middle.X, other.Y-r.middle.Y
	for _, at := range r.corners {
		if r.side(at, dx, dy) > 0 {
			return true
		}
	}
	return false
}

// clip removes the part of the region that is nearer to another point, the reference
// point of owner. It returns that part as a polygon, and whether the region changed.
func (r *Region) clip(other Point, owner PeerKey) (taken []corner, changed bool) {
	dx, dy := other.X-r.middle.X, other.Y-r.middle.Y
	if dx == 0 && dy == 0 {
		return nil, false
	}
	if !r.cuts(other) {
		return nil, false
	}
	var kept []corner
	count := len(r.corners)
	for position, current := range r.corners {
		next := r.corners[(position+1)%count]
		currentSide, nextSide := r.side(current, dx, dy), r.side(next, dx, dy)
		if currentSide <= 0 {
			kept = append(kept, current)
		} else {
			taken = append(taken, current)
		}
		if currentSide <= 0 && nextSide > 0 || currentSide > 0 && nextSide <= 0 {
			fraction := currentSide / (currentSide - nextSide)
			crossing := corner{x: current.x + fraction*(next.x-current.x), y: current.y + fraction*(next.y-current.y)}
			if currentSide <= 0 {
				crossing.owner, crossing.ownerPoint = owner, other
			} else {
				crossing.owner, crossing.ownerPoint = current.owner, current.ownerPoint
			}
			kept = append(kept, crossing)
			taken = append(taken, crossing)
		}
	}
	r.corners = kept
	return taken, true
}

// owners returns the enclosing neighbours, in the order of the edges.
func (r *Region) owners() []PeerKey {
	var owners []PeerKey
	for _, at := range r.corners {
		if at.owner.Daemon == "" {
			continue
		}
		known := false
		for _, earlier := range owners {
			known = known || earlier == at.owner
		}
		if !known {
			owners = append(owners, at.owner)
		}
	}
	return owners
}

// owns reports whether a peer is an enclosing neighbour: the owner of an edge.
func (r *Region) owns(key PeerKey) bool {
	for _, at := range r.corners {
		if at.owner == key {
			return true
		}
	}
	return false
}

// commonNeighbours returns the owners of the edges adjacent to the edges of a given
// owner: the neighbours that this peer and that owner have in common.
func (r *Region) commonNeighbours(key PeerKey) []PeerKey {
	var found []PeerKey
	count := len(r.corners)
	for position, at := range r.corners {
		if at.owner != key {
			continue
		}
		for _, step := range []int{count - 1, 1} {
			other := r.corners[(position+step)%count].owner
			if other.Daemon != "" && other != key {
				found = append(found, other)
			}
		}
	}
	return found
}

// intersects reports whether an area and the region have a point in common.
func (r *Region) intersects(area Area) bool { return polygonIntersects(r.middle, r.corners, area) }

// polygonIntersects reports whether a convex polygon, relative to middle, intersects an
// area. Most areas are far away or contain a corner of the polygon. Comparing the
// corners and the bounding box decides these cases without clipping.
func polygonIntersects(middle Point, polygon []corner, area Area) bool {
	if len(polygon) == 0 {
		return false
	}
	left, right := area.X-middle.X, area.X+area.Size-middle.X
	low, high := area.Y-middle.Y, area.Y+area.Size-middle.Y
	minX, maxX, minY, maxY := polygon[0].x, polygon[0].x, polygon[0].y, polygon[0].y
	for _, at := range polygon {
		if at.x >= left && at.x <= right && at.y >= low && at.y <= high {
			return true
		}
		minX, maxX, minY, maxY = min(minX, at.x), max(maxX, at.x), min(minY, at.y), max(maxY, at.y)
	}
	if minX > right || maxX < left || minY > high || maxY < low {
		return false
	}
	var buffers [2][32]vertex
	present, spare := buffers[0][:0], buffers[1][:0]
	for _, at := range polygon {
		present = append(present, vertex{at.x, at.y})
	}
	for _, bound := range [4]struct{ dx, dy, limit float64 }{{-1, 0, -left}, {1, 0, right}, {0, -1, -low}, {0, 1, high}} {
		spare = spare[:0]
		for position, current := range present {
			next := present[(position+1)%len(present)]
			currentSide := current.x*bound.dx + current.y*bound.dy - bound.limit
			nextSide := next.x*bound.dx + next.y*bound.dy - bound.limit
			if currentSide <= 0 {
				spare = append(spare, current)
			}
			if currentSide <= 0 && nextSide > 0 || currentSide > 0 && nextSide <= 0 {
				fraction := currentSide / (currentSide - nextSide)
				spare = append(spare, vertex{current.x + fraction*(next.x-current.x), current.y + fraction*(next.y-current.y)})
			}
		}
		if len(spare) == 0 {
			return false
		}
		present, spare = spare, present
	}
	return true
}

// vertex is a corner without its owner.
type vertex struct{ x, y float64 }

// boundary returns the neighbours beyond the edges that intersect an area; their regions
// intersect it too. A neighbour with several such edges is returned once for each edge.
func (r *Region) boundary(area Area) []PeerKey {
	var found []PeerKey
	for position, current := range r.corners {
		if current.owner.Daemon == "" {
			continue
		}
		next := r.corners[(position+1)%len(r.corners)]
		if segmentIntersects(r.middle, current, next, area) {
			found = append(found, current.owner)
		}
	}
	return found
}

// segmentIntersects reports whether an edge, relative to middle, intersects an area.
// The area is widened slightly, so that an edge along its border intersects it.
func segmentIntersects(middle Point, from, to corner, area Area) bool {
	margin := area.Size * 1e-9
	low, high := 0.0, 1.0
	for _, axis := range []struct{ start, step, low, high float64 }{
		{from.x, to.x - from.x, area.X - middle.X - margin, area.X + area.Size - middle.X + margin},
		{from.y, to.y - from.y, area.Y - middle.Y - margin, area.Y + area.Size - middle.Y + margin},
	} {
		if axis.step == 0 {
			if axis.start < axis.low || axis.start > axis.high {
				return false
			}
			continue
		}
		enter, leave := (axis.low-axis.start)/axis.step, (axis.high-axis.start)/axis.step
		low, high = math.Max(low, math.Min(enter, leave)), math.Min(high, math.Max(enter, leave))
	}
	return low <= high
}
