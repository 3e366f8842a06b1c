package machine

import (
	"time"

	"robinstack/internal/cloud"
)

// Images holds the images that are on a machine and the image fetches in progress.
type Images struct {
	present      map[string]time.Time // when the image was last seen in use
	fetches      map[string]*imageFetch
	trackedUntil time.Time // time of the latest TrackFetches
}

// imageFetch is an image fetch in progress.
type imageFetch struct {
	startedAt         time.Time
	expectedSeconds   float64 // expected duration without concurrent fetches, by the machine type's rate
	concurrentSeconds float64 // time in which other fetches were in progress, summed over these fetches
}

// Has reports whether an image is known to be on the machine.
func (i *Images) Has(image string) bool {
	_, has := i.present[image]
	return has
}

// fetchingAvailability is the availability of an image that another task is fetching.
const fetchingAvailability = 0.5

// ImageAvailability returns the availability of an image on the machine: 1 if the image is known to
// be there, fetchingAvailability if another task is fetching it or about to, 0 otherwise.
func (m *Machine) ImageAvailability(image string) float64 {
	if m.Images.Has(image) {
		return 1
	}
	for _, t := range m.tasks {
		if t.Spec != nil && t.Spec.Image == image && (t.state == Fetching || t.state == Starting) {
			return fetchingAvailability
		}
	}
	return 0
}

// imagesBeingFetched returns the number of images that tasks are fetching or about to fetch.
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

// minObservedSeconds is the expected duration below which a fetch is too short to measure its rate.
const minObservedSeconds = 1

// TrackFetches updates the image fetches from the states of the machine's tasks, and adds finished
// fetches to the contention estimate.
func (m *Machine) TrackFetches(now time.Time, machineType cloud.MachineType, contention *FetchContention) {
	images := &m.Images
	for _, f := range images.fetches {
		f.concurrentSeconds += now.Sub(images.trackedUntil).Seconds() * float64(len(images.fetches)-1)
	}
	images.trackedUntil = now
	fetching := map[string]float64{}
	for _, task := range m.tasks {
		if task.Spec != nil && task.state == Fetching {
			fetching[task.Spec.Image] = task.Spec.ImageGB
		}
	}
	images.finishFetches(now, fetching, contention)
	for image, gb := range fetching {
		if images.fetches[image] != nil || machineType.FetchGBPerS <= 0 {
			continue
		}
		if images.fetches == nil {
			images.fetches = map[string]*imageFetch{}
		}
		images.fetches[image] = &imageFetch{startedAt: now, expectedSeconds: gb / machineType.FetchGBPerS}
	}
}

// finishFetches removes the fetches of images that no task is fetching any more, and adds those
// that succeeded to the contention estimate.
func (i *Images) finishFetches(now time.Time, fetching map[string]float64, contention *FetchContention) {
	for image, f := range i.fetches {
		if _, stillFetching := fetching[image]; stillFetching {
			continue
		}
		delete(i.fetches, image)
		elapsedSeconds := now.Sub(f.startedAt).Seconds()
		if i.Has(image) && f.expectedSeconds > minObservedSeconds && elapsedSeconds > 0 {
			contention.observe(elapsedSeconds/f.expectedSeconds, f.concurrentSeconds/elapsedSeconds)
		}
	}
}
