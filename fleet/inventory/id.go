// Package inventory defines the identifiers of the fleet's objects, the units of
// capacity, and the platform's descriptions of hosts and workers.
package inventory

// OwnerID identifies one of the owners that share the fleet.
type OwnerID string

// RegionID identifies a region, which is a set of data centres.
type RegionID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RackID identifies a rack, the smallest failure domain above a host. It is unique only
// within its data centre.
type RackID string

// HostID identifies a host.
type HostID string

// Worker returns the ID of the worker that runs on the host.
func (id HostID) Worker() WorkerID {
	return WorkerID(id)
}

// WorkerID identifies a worker, the part of a host that runs tasks. A host has one
// worker, which has the same ID as the host.
type WorkerID string

// Host returns the ID of the host that the worker runs on.
func (id WorkerID) Host() HostID {
	return HostID(id)
}

// EntryID identifies an entry host of the system.
type EntryID string

// PoolID identifies a pool of hosts.
type PoolID string

// ServiceID identifies a service that callers use.
type ServiceID string

// InstanceID identifies one backend server of a service.
type InstanceID string

// TenantID identifies a caller's organisation.
type TenantID string

// TeamID identifies a team whose jobs share a quota.
type TeamID string

// ClassID identifies a class of requests or jobs.
type ClassID string

// JobID identifies a job.
type JobID string

// WaveID identifies a maintenance wave.
type WaveID string

// OperatorID identifies an operator.
type OperatorID string
