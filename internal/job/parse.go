package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// MaxDependencies is the largest number of jobs that one job may depend on. With ids of maximum
// length they take 24 kB, less than half of the largest submission.
const MaxDependencies = 1000

// Limits on the values of a submission.
const (
	maxAmount           = 1e9 // amount of a resource, gigabytes or seconds; a larger value is taken for a mistake
	maxNameBytes        = 200 // name of a class, team or image
	maxMachineTypes     = 50
	maxMachineTypeBytes = 100 // name of a machine type
	maxZoneBytes        = 100
)

// requiredFields are the JSON fields that every submission must have.
var requiredFields = []string{
	"id", "job_class", "owner", "shape", "rank", "pieces", "cpus", "gpus", "mem_gb", "bundle", "pull_gb",
	"one_zone", "spread", "loaners", "guess_s", "snapshot_every_s", "snapshot_s",
}

// ParseSpec decodes and validates a submission. The error names the invalid field; its text is
// returned to the user.
func ParseSpec(body []byte) (*Spec, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errors.New("the body is not a JSON object")
	}
	for _, name := range requiredFields {
		if raw, ok := fields[name]; !ok || bytes.Equal(raw, []byte("null")) {
			return nil, fmt.Errorf("%s: is missing", name)
		}
	}
	var s Spec
	if err := json.Unmarshal(body, &s); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: must not be a JSON %s", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("malformed: %w", err)
	}
	s.WaitsOn = removeDuplicates(s.WaitsOn)
	return &s, s.validate()
}

// removeDuplicates removes repeated names in place and keeps the order of the others.
func removeDuplicates(names []string) []string {
	seen := make(map[string]bool, len(names))
	return slices.DeleteFunc(names, func(name string) bool {
		repeated := seen[name]
		seen[name] = true
		return repeated
	})
}

// validate checks that every field has an allowed value. The error names a field that has not.
func (s *Spec) validate() error {
	for _, check := range []func() error{s.validateAmounts, s.validateNames, s.validateChoices, s.validateLists} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Spec) validateAmounts() error {
	amounts := map[string]float64{
		"cpus": s.CPUs, "gpus": s.GPUs, "mem_gb": s.MemoryGB, "pull_gb": s.ImageGB,
		"guess_s": s.EstimateS, "snapshot_every_s": s.CheckpointS, "snapshot_s": s.SaveS,
	}
	if s.DeadlineS != nil {
		amounts["due_s"] = *s.DeadlineS
	}
	for name, amount := range amounts {
		if amount < 0 || amount > maxAmount {
			return fmt.Errorf("%s: %v is out of range", name, amount)
		}
	}
	return nil
}

func (s *Spec) validateNames() error {
	for name, value := range map[string]string{"job_class": s.Class, "owner": s.Team, "bundle": s.Image} {
		if value == "" || len(value) > maxNameBytes {
			return fmt.Errorf("%s: must have 1 to %d bytes", name, maxNameBytes)
		}
	}
	return nil
}

func (s *Spec) validateChoices() error {
	_, knownRank := priorityByRank[s.Rank]
	switch {
	case !ValidID(s.ID):
		return fmt.Errorf("id: %.40q is no job id", s.ID)
	case s.Shape != Array && s.Shape != Gang && s.Shape != Service:
		return fmt.Errorf("shape: %.40q is unknown", s.Shape)
	case !knownRank:
		return fmt.Errorf("rank: %.40q is unknown", s.Rank)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return fmt.Errorf("pieces: must be 1 to %d", MaxTasks)
	case len(s.Types) > maxMachineTypes:
		return fmt.Errorf("host_kinds: has more than %d entries", maxMachineTypes)
	case len(s.WaitsOn) > MaxDependencies:
		return fmt.Errorf("waits_on: has more than %d entries", MaxDependencies)
	case s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxZoneBytes):
		return fmt.Errorf("site: must have 1 to %d bytes", maxZoneBytes)
	}
	return nil
}

func (s *Spec) validateLists() error {
	for _, name := range s.Types {
		if name == "" || len(name) > maxMachineTypeBytes {
			return errors.New("host_kinds: has an entry without a name or with an overlong one")
		}
	}
	for _, id := range s.WaitsOn {
		if !ValidID(id) {
			return fmt.Errorf("waits_on: %.40q is no job id", id)
		}
	}
	return nil
}
