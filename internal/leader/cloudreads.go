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
	// machineListInterval is the pause between two reads of the cloud's machine list.
	machineListInterval = 2500 * time.Millisecond
	// typesMaxAge is the age at which machine types and their prices are read again.
	typesMaxAge = 20 * time.Second
)

// runCloudReads reads the cloud's machine list, machine types and prices periodically. A controller
// that is not the leader reads only the machine types, and only until it has some.
func (l *Leader) runCloudReads(ctx context.Context) {
	var typesReadAt time.Time
	for ctx.Err() == nil {
		typesStale := time.Since(typesReadAt) > typesMaxAge
		if len(l.catalogue.Types()) == 0 || l.Epoch() != 0 && typesStale {
			if types := l.readTypes(ctx); len(types) > 0 {
				typesReadAt = time.Now()
				l.handleTypes(ctx, types)
			}
		}
		if l.Epoch() != 0 {
			l.readMachines(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(machineListInterval):
		}
	}
}

// readTypes reads the machine types and their prices from the cloud. It returns nil on an error.
func (l *Leader) readTypes(ctx context.Context) []cloud.MachineType {
	types, err := l.cloud.MachineTypes(ctx)
	if err != nil {
		slog.Debug("machine types read failed", "err", err)
		return nil
	}
	return types
}

func (l *Leader) handleTypes(ctx context.Context, types []cloud.MachineType) {
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

// price is the hourly price of a machine type.
type price struct{ onDemand, spot float64 }

// logPrices logs the prices that have changed, because the audit tool computes costs from these
// lines.
func (l *Leader) logPrices(types []cloud.MachineType) {
	for _, t := range l.updateLoggedPrices(types) {
		slog.Info(logline.MachineTypePrice, "type", t.Name, "hourly", t.OnDemandPrice, "spot", t.SpotPrice,
			"cpus", t.CPUs, "gpus", t.GPUs, "mem_gb", t.MemoryGB)
	}
}

// updateLoggedPrices returns the types whose prices differ from the logged ones, and records them
// as logged. It returns nil if this controller is not the leader.
func (l *Leader) updateLoggedPrices(types []cloud.MachineType) []cloud.MachineType {
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

// storeTypes writes the machine types to the state service if they are not there yet, for
// controllers that start while the cloud does not answer.
func (l *Leader) storeTypes(ctx context.Context, types []cloud.MachineType) {
	if _, ok := l.mirror.Get(statekv.MachineTypesKey); ok || l.Epoch() == 0 {
		return
	}
	raw, err := json.Marshal(types)
	if err != nil || len(raw) > l.settings.StateLimits.MaxValueBytes {
		return
	}
	// The write requires that the key does not exist, so that a delayed duplicate of it cannot
	// overwrite newer types.
	absent := []statekv.Compare{{Key: statekv.MachineTypesKey}}
	store := []statekv.Op{{Set: statekv.MachineTypesKey, Value: types}}
	if _, err := l.session.Write(ctx, absent, store); err != nil {
		slog.Debug("machine types write failed", "err", err)
	}
}
