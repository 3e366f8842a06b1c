package leader

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/logline"
	"robinstack/internal/statekv"
)

const (
	// listInterval is the pause between two reads of the cloud's list of machines.
	listInterval = 2500 * time.Millisecond
	// typesInterval is how old types and their prices may be before they are read again.
	typesInterval = 20 * time.Second
)

// runCloudReads reads the cloud's list of machines and its prices from time to time; who is
// not leader reads only the types, until there are some.
func (l *Leader) runCloudReads(ctx context.Context) {
	var typesReadAt time.Time
	for ctx.Err() == nil {
		typesAreOld := time.Since(typesReadAt) > typesInterval
		if len(l.catalogue.Types()) == 0 || l.Epoch() != 0 && typesAreOld {
			if types := l.readTypes(ctx); len(types) > 0 {
				typesReadAt = time.Now()
				l.onTypes(ctx, types)
			}
		}
		if l.Epoch() != 0 {
			l.readMachines(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listInterval):
		}
	}
}

// readTypes reads the types and their prices: none without an answer.
func (l *Leader) readTypes(ctx context.Context) []cloud.MachineType {
	types, err := l.cloud.MachineTypes(ctx)
	if err != nil {
		slog.Debug("machine types read failed", "err", err)
		return nil
	}
	return types
}

func (l *Leader) onTypes(ctx context.Context, types []cloud.MachineType) {
	l.catalogue.Set(types)
	l.logPrices(types)
	l.storeTypes(ctx, types)
}

func (l *Leader) readMachines(ctx context.Context) {
	machines, err := l.cloud.Machines(ctx)
	if err != nil {
		slog.Debug("machine list read failed", "err", err)
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.OnList(machines, now)
}

// price is what a machine of a type costs per hour.
type price struct{ onDemand, spot float64 }

// logPrices logs the prices that have changed, for the audit.
func (l *Leader) logPrices(types []cloud.MachineType) {
	for _, t := range l.takeChangedPrices(types) {
		slog.Info(logline.MachineTypePrice, "type", t.Name, "hourly", t.OnDemandPrice, "spot", t.SpotPrice,
			"cpus", t.CPUs, "gpus", t.GPUs, "mem_gb", t.MemoryGB)
	}
}

// takeChangedPrices lists, of a leader, the types whose prices are to be logged, and takes
// that for done.
func (l *Leader) takeChangedPrices(types []cloud.MachineType) []cloud.MachineType {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 {
		return nil
	}
	var changed []cloud.MachineType
	for _, t := range types {
		current := price{t.OnDemandPrice, t.SpotPrice}
		if l.loggedPrices[t.Name] == current {
			continue
		}
		l.loggedPrices[t.Name] = current
		changed = append(changed, t)
	}
	return changed
}

// storeTypes stores the types once, for controllers that start while the cloud does not
// answer.
func (l *Leader) storeTypes(ctx context.Context, types []cloud.MachineType) {
	if _, ok := l.mirror.Get(statekv.MachineTypesKey); ok || l.Epoch() == 0 {
		return
	}
	raw, err := json.Marshal(types)
	if err != nil || len(raw) > l.settings.StateLimits.MaxValueBytes {
		return
	}
	// Once: a copy that is carried out late must not bring back what was then.
	absent := []statekv.Compare{{Key: statekv.MachineTypesKey}}
	store := []statekv.Op{{Set: statekv.MachineTypesKey, Value: types}}
	if _, err := l.session.Write(ctx, absent, store); err != nil {
		slog.Debug("machine types write failed", "err", err)
	}
}
