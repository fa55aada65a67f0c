package scheduling

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/godwitcross/godwitcross/fleet/job"
)

// maxListedDoneTasks is the number of done tasks above which a progress record holds them as ranges.
// Below it, versions of the program that don't know ranges can read the record.
const maxListedDoneTasks = 1000

// doneTasks returns the number of done tasks of all occurrences.
func (js *jobState) doneTasks() int {
	n := 0
	for _, o := range js.occurrences {
		for _, st := range o.steps {
			n += st.doneTasks
		}
	}
	return n
}

// progress returns the job's progress record.
func (js *jobState) progress() job.Progress {
	p := job.Progress{State: js.state, EndedAt: js.endedWall, Workspace: js.Workspace}
	if js.state.Final() {
		return p
	}
	if js.hasStarted {
		p.State = job.Running
	}
	p.DataCentres, p.Pools = js.dataCentres.next, js.pools.next
	isLarge := js.doneTasks() > maxListedDoneTasks
	number := -1
	for _, o := range js.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				number++
				if isLarge && t.done {
					p.Done = job.AppendTask(p.Done, number)
					continue
				}
				if !t.done && len(t.failed) == 0 && t.crashCount() == 0 && len(t.unproven) == 0 && t.checkpoint == "" {
					continue
				}
				tp := job.TaskProgress{Occurrence: o.number, Step: st.number, Index: t.index, Done: t.done}
				if !t.done {
					tp.Failed, tp.Crashed, tp.Unproven, tp.Checkpoint = t.failed, t.crashed, t.unproven, t.checkpoint
					tp.LateCrashed, tp.CrashAgeMs = t.lateCrashed, t.crashAge.Milliseconds()
				}
				p.Tasks = append(p.Tasks, tp)
			}
		}
	}
	return p
}

// defaultRecordBytes is the store's limit of a record if the settings have none.
const defaultRecordBytes = 256 << 10

// blockKey returns the key of the record of a block of a job's progress.
func blockKey(id job.ID, block int) string {
	return ProgressPrefix + string(id) + "/" + strconv.Itoa(block)
}

// ParseProgressKey returns the job of a progress record, and the block that it holds, or -1 for the
// record of the whole job. It returns false for other records.
func ParseProgressKey(key string) (id job.ID, block int, ok bool) {
	rest, ok := strings.CutPrefix(key, ProgressPrefix)
	if !ok {
		return "", 0, false
	}
	rest, number, isBlock := strings.Cut(rest, "/")
	if !isBlock {
		return job.ID(rest), -1, true
	}
	block, err := strconv.Atoi(number)
	return job.ID(rest), block, err == nil && block >= 0
}

// progressRecords returns the records that store a job's progress, in the order in which they have to
// be stored. The progress is divided into blocks once it takes more than half of the store's limit of a
// record; only blocks that have changed are stored again.
func (s *Scheduler) progressRecords(js *jobState) ([]Record, error) {
	p := js.progress()
	key := ProgressPrefix + string(js.ID)
	b, err := p.Encode()
	if err != nil {
		return nil, err
	}
	if p.State.Final() {
		return append([]Record{{Key: key, Value: b}}, js.dropBlocks(nil)...), nil
	}
	if js.blocks == nil && len(b) <= s.cfg.RecordBytes/2 {
		return []Record{{Key: key, Value: b}}, nil
	}
	if js.blocks == nil {
		js.blocks = make(map[int][]byte)
		s.logDecision("progress divided into blocks", js.ID, "Bytes", len(b))
	}
	head, blocks := p.Split(js.Job)
	var records []Record
	for _, k := range slices.Sorted(maps.Keys(blocks)) {
		b, err := s.encodeBlock(js, k, blocks[k])
		if err != nil {
			return nil, err
		}
		if stored, ok := js.blocks[k]; ok && bytes.Equal(stored, b) {
			continue
		}
		js.blocks[k] = b
		records = append(records, Record{Key: blockKey(js.ID, k), Value: b})
	}
	if b, err = head.Encode(); err != nil {
		return nil, err
	}
	records = append(records, Record{Key: key, Value: b})
	return append(records, js.dropBlocks(blocks)...), nil
}

// encodeBlock encodes a block of a job's progress. Checkpoints, whose size the workers determine, are left out
// if they make it larger than a record may be: their tasks begin anew under the next leader.
func (s *Scheduler) encodeBlock(js *jobState, number int, block job.Progress) ([]byte, error) {
	b, err := block.Encode()
	if err != nil || len(b)+len(blockKey(js.ID, number)) < s.cfg.RecordBytes {
		return b, err
	}
	s.logDecision("checkpoints not stored: the record is too large", js.ID, "Block", number, "Bytes", len(b))
	block.Tasks = slices.Clone(block.Tasks)
	for i := range block.Tasks {
		block.Tasks[i].Checkpoint = ""
	}
	return block.Encode()
}

// dropBlocks returns the records that drop the stored blocks except those in kept.
func (js *jobState) dropBlocks(kept map[int]job.Progress) []Record {
	var records []Record
	for _, k := range slices.Sorted(maps.Keys(js.blocks)) {
		if _, ok := kept[k]; !ok {
			delete(js.blocks, k)
			records = append(records, Record{Key: blockKey(js.ID, k)})
		}
	}
	return records
}

// AddProgress adds the value of a progress record: of a whole job if block is -1, or of a block.
func (r *Restored) AddProgress(id job.ID, block int, p job.Progress) {
	if block < 0 {
		if r.Progress == nil {
			r.Progress = make(map[job.ID]job.Progress)
		}
		r.Progress[id] = p
		return
	}
	if r.Blocks == nil {
		r.Blocks = make(map[job.ID]map[int]job.Progress)
	}
	if r.Blocks[id] == nil {
		r.Blocks[id] = make(map[int]job.Progress)
	}
	r.Blocks[id][block] = p
}

// progress returns the stored progress of a job, with its blocks.
func (r Restored) progress(id job.ID) job.Progress {
	p := r.Progress[id]
	for _, k := range slices.Sorted(maps.Keys(r.Blocks[id])) {
		p = p.Merge(r.Blocks[id][k])
	}
	return p
}

// storedBlocks returns the blocks of a job's progress that have a record, or nil if there are none.
func (r Restored) storedBlocks(id job.ID) map[int][]byte {
	if len(r.Blocks[id]) == 0 {
		return nil
	}
	blocks := make(map[int][]byte, len(r.Blocks[id]))
	for k := range r.Blocks[id] {
		blocks[k] = nil
	}
	return blocks
}
