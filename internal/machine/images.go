package machine

import (
	"time"

	"robinstack/internal/cloud"
)

// Images is which images are on a machine, and which are on their way to it.
type Images struct {
	present map[string]time.Time // when last seen in use
	fetches map[string]*imageFetch
	booked  time.Time // up to when the fetches were followed
}

// imageFetch is an image on its way to a machine.
type imageFetch struct {
	startedAt     time.Time
	aloneSeconds  float64 // that it takes alone, by the machine type's rate
	besideSeconds float64 // that other fetches on the machine went on beside it, each counted
}

// Has reports whether an image is known to be on the machine.
func (i *Images) Has(image string) bool {
	_, has := i.present[image]
	return has
}

// fetchingHalf is the state of an image that another task is having fetched.
const fetchingHalf = 0.5

// ImageState is 1 if the image is known to be on the machine, and half of that
// if another task is having it fetched.
func (m *Machine) ImageState(image string) float64 {
	if m.Images.Has(image) {
		return 1
	}
	for _, t := range m.tasks {
		if t.Spec != nil && t.Spec.Image == image && (t.state == Fetching || t.state == Starting) {
			return fetchingHalf
		}
	}
	return 0
}

// imagesBeingFetched counts the images that tasks fetch, or are about to.
func (m *Machine) imagesBeingFetched() int {
	images := map[string]bool{}
	for _, t := range m.tasks {
		if t.Spec == nil || t.state != Fetching && t.state != Starting {
			continue
		}
		if !m.Images.Has(t.Spec.Image) {
			images[t.Spec.Image] = true
		}
	}
	return len(images)
}

// minObservedSeconds is the expected time below which a fetch tells nothing of its rate.
const minObservedSeconds = 1

// TrackFetches brings the machine's fetches up to date with its tasks, and has contention
// observe those that are over.
func (m *Machine) TrackFetches(now time.Time, t cloud.MachineType, contention *FetchContention) {
	images := &m.Images
	for _, f := range images.fetches {
		f.besideSeconds += now.Sub(images.booked).Seconds() * float64(len(images.fetches)-1)
	}
	images.booked = now
	sizes := map[string]float64{}
	for _, k := range m.tasks {
		if k.Spec != nil && k.state == Fetching {
			sizes[k.Spec.Image] = k.Spec.ImageGB
		}
	}
	images.endFetches(now, sizes, contention)
	for image, gb := range sizes {
		if images.fetches[image] != nil || t.FetchGBPerS <= 0 {
			continue
		}
		if images.fetches == nil {
			images.fetches = map[string]*imageFetch{}
		}
		images.fetches[image] = &imageFetch{startedAt: now, aloneSeconds: gb / t.FetchGBPerS}
	}
}

// endFetches drops the fetches of images that no task fetches any more, and has those that
// succeeded observed.
func (i *Images) endFetches(now time.Time, fetching map[string]float64, contention *FetchContention) {
	for image, f := range i.fetches {
		if _, on := fetching[image]; on {
			continue
		}
		delete(i.fetches, image)
		took := now.Sub(f.startedAt).Seconds()
		if i.Has(image) && f.aloneSeconds > minObservedSeconds && took > 0 {
			contention.observe(took/f.aloneSeconds, f.besideSeconds/took)
		}
	}
}
