package job

import "slices"

// BlockTasks is the number of tasks in a block. The tasks of a job, in the order that TaskRange has, are
// divided into blocks from 0. Stored records depend on the number.
const BlockTasks = 200

// Split divides the progress of j's tasks into blocks, for progress that doesn't fit in one record. The
// head holds what concerns the whole job and the blocks of which all tasks are done. Each other block
// with progress has a part of its own. Merge reverses it.
//
// A leader may end when it has stored only some of the parts. No progress is lost if the parts are
// stored before the head, and those that are no longer needed are dropped after it.
func (p Progress) Split(j Job) (head Progress, blocks map[int]Progress) {
	head = p
	head.Tasks, head.Done = nil, nil
	blocks = make(map[int]Progress)
	done := slices.Clone(p.Done)
	for _, t := range p.Tasks {
		n := j.taskNumber(t)
		if t.Done {
			done = AppendTask(done, n)
			continue
		}
		b := blocks[n/BlockTasks]
		b.Tasks = append(b.Tasks, t)
		blocks[n/BlockTasks] = b
	}
	for _, r := range done {
		for end := r.First + r.Count; r.First < end; r.First += r.Count {
			k := r.First / BlockTasks
			r.Count = min(end, (k+1)*BlockTasks) - r.First
			if r.Count == BlockTasks {
				head.Done = append(head.Done, r)
				continue
			}
			b := blocks[k]
			b.Done = append(b.Done, r)
			blocks[k] = b
		}
	}
	head.Done = joinRanges(head.Done)
	return head, blocks
}

// Merge returns the progress with that of a block added. The block's progress of a task comes last,
// as it is the newer one if both have some.
func (p Progress) Merge(block Progress) Progress {
	p.Tasks = slices.Concat(p.Tasks, block.Tasks)
	p.Done = slices.Concat(p.Done, block.Done)
	return p
}

// joinRanges joins ranges in ascending order that border on each other.
func joinRanges(ranges []TaskRange) []TaskRange {
	var out []TaskRange
	for _, r := range ranges {
		if n := len(out); n > 0 && out[n-1].First+out[n-1].Count == r.First {
			out[n-1].Count += r.Count
			continue
		}
		out = append(out, r)
	}
	return out
}

// taskNumber returns the number of a task, as TaskRange counts them.
func (j Job) taskNumber(t TaskProgress) int {
	n := t.Occurrence*j.tasksPerOccurrence() + t.Index
	for _, s := range j.Steps[:t.Step] {
		n += s.Count
	}
	return n
}

// tasksPerOccurrence returns the number of tasks of one occurrence.
func (j Job) tasksPerOccurrence() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}
