// Package inventory names the things the fleet is made of: identities, units
// of capacity, and the facts that the platform tells about hosts and workers.
package inventory

// OwnerID names an owner of the shared fleet.
type OwnerID string

// RegionID names a region, a set of data centres.
type RegionID string

// DataCentreID names a data centre.
type DataCentreID string

// RackID names a rack, the smallest failure domain above a host. It is unique
// within its data centre only.
type RackID string

// HostID names a machine.
type HostID string

// Worker returns the identity of the worker that runs on the host.
func (id HostID) Worker() WorkerID {
	return WorkerID(id)
}

// WorkerID names the part of a host that runs tasks. A host has one worker,
// which bears the name of its host.
type WorkerID string

// Host returns the identity of the host that the worker runs on.
func (id WorkerID) Host() HostID {
	return HostID(id)
}

// EntryID names an entry host of the system.
type EntryID string

// PoolID names a pool of hosts.
type PoolID string

// ServiceID names a service that callers use.
type ServiceID string

// InstanceID names one backend server of a service.
type InstanceID string

// TenantID names a caller's organisation.
type TenantID string

// TeamID names a team whose jobs share a quota.
type TeamID string

// ClassID names a class of requests or jobs.
type ClassID string

// JobID names a job.
type JobID string

// WaveID names a maintenance wave.
type WaveID string

// OperatorID names an operator.
type OperatorID string
