//! Placement: an index of workers by free capacity, and the cost function that ranks candidates.
//!
//! [`Index`] groups the workers of one failure domain into cells by free accelerators, processor
//! time and memory. Bitmaps of non-empty cells restrict a search to cells that can satisfy the
//! need, and limits on candidates keep its cost nearly independent of the number of workers.

use crate::contract::configuration::Weights;
use crate::machine::capacity::Capacity;

/// Index of a worker's slot in a [`crate::machine::view::View`].
pub type Handle = u32;

/// Number of levels, one per count of free accelerators; the last also holds all higher counts.
const LEVELS: usize = 16;
/// Number of rows (by processor time) and of columns (by memory) in each level.
const STEPS: usize = 32;
/// Steps per doubling of processor time or memory.
const STEPS_PER_OCTAVE: u64 = 4;
/// Amounts of processor time below this share the first row, in thousandths of a core.
const CPU_UNIT_MILLI: u64 = 250;
/// Amounts of memory below this share the first column, in mebibytes.
const MEMORY_UNIT_MIB: u64 = 512;
/// Limit on the workers examined per cell.
const PROBES_PER_CELL: usize = 24;
/// Limit on the candidates per cell, whose workers have nearly the same free capacity.
const CANDIDATES_PER_CELL: usize = 2;
/// Limit on the cells per row that contribute candidates.
const CELLS_PER_ROW: usize = 2;
/// Limit on the candidates per level.
const CANDIDATES_PER_LEVEL: usize = 12;
/// Limit on the levels per search that contribute candidates.
const LEVELS_PER_SEARCH: usize = 2;

/// Position of a worker in an [`Index`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spot {
    cell: u32,
    position: u32,
}

/// The workers of one failure domain, grouped by free capacity.
#[derive(Clone, Debug)]
pub struct Index {
    /// Bitmap of non-empty levels.
    levels: u32,
    /// Bitmap of non-empty rows, by level.
    rows: [u32; LEVELS],
    /// Bitmap of non-empty columns, by level and row.
    columns: Vec<u32>,
    /// Workers with their free capacity, by level, row and column.
    cells: Vec<Vec<(Handle, Capacity)>>,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            levels: 0,
            rows: [0; LEVELS],
            columns: vec![0; LEVELS * STEPS],
            cells: vec![Vec::new(); LEVELS * STEPS * STEPS],
        }
    }
}

impl Index {
    /// Adds a worker with its free capacity. Returns its position.
    pub fn insert(&mut self, handle: Handle, free: &Capacity) -> Spot {
        let (level, row, column) = coordinates(free);
        let line = level * STEPS + row;
        let cell = line * STEPS + column;
        self.cells[cell].push((handle, *free));
        self.columns[line] |= 1 << column;
        self.rows[level] |= 1 << row;
        self.levels |= 1 << level;
        Spot { cell: to_u32(cell), position: to_u32(self.cells[cell].len() - 1) }
    }

    /// Removes the worker at a position. Returns the worker that was moved to this position to fill
    /// the gap, if any.
    pub fn remove(&mut self, spot: Spot) -> Option<Handle> {
        let cell = spot.cell as usize;
        let position = spot.position as usize;
        self.cells[cell].swap_remove(position);
        if self.cells[cell].is_empty() {
            let (line, column) = (cell / STEPS, cell % STEPS);
            let (level, row) = (line / STEPS, line % STEPS);
            self.columns[line] &= !(1 << column);
            if self.columns[line] == 0 {
                self.rows[level] &= !(1 << row);
            }
            if self.rows[level] == 0 {
                self.levels &= !(1 << level);
            }
        }
        self.cells[cell].get(position).map(|(handle, _)| *handle)
    }

    /// Calls `visit` for a bounded number of workers that can satisfy `need`, starting with the
    /// cells of least free capacity.
    pub fn candidates(&self, need: &Capacity, mut visit: impl FnMut(Handle, &Capacity)) {
        let (level, row, column) = coordinates(need);
        let mut levels_left = LEVELS_PER_SEARCH;
        for level in bits(self.levels, level) {
            let mut left = CANDIDATES_PER_LEVEL;
            for row in bits(self.rows[level], row) {
                let line = level * STEPS + row;
                left = self.row_candidates(line, column, need, left, &mut visit);
                if left == 0 {
                    break;
                }
            }
            if left < CANDIDATES_PER_LEVEL {
                levels_left -= 1;
            }
            if levels_left == 0 {
                return;
            }
        }
    }

    /// Visits at most `left` candidates of one row. Returns how many more may be visited.
    fn row_candidates(
        &self,
        line: usize,
        column: usize,
        need: &Capacity,
        mut left: usize,
        visit: &mut impl FnMut(Handle, &Capacity),
    ) -> usize {
        let mut cells_left = CELLS_PER_ROW;
        for column in bits(self.columns[line], column) {
            let fitting = self.cells[line * STEPS + column]
                .iter()
                .take(PROBES_PER_CELL)
                .filter(|(_, free)| free.holds(need))
                .take(CANDIDATES_PER_CELL.min(left));
            let before = left;
            for (handle, free) in fitting {
                visit(*handle, free);
                left -= 1;
            }
            cells_left -= usize::from(left < before);
            if left == 0 || cells_left == 0 {
                break;
            }
        }
        left
    }
}

/// Returns the positions of the set bits of `map` from `first` upwards.
fn bits(map: u32, first: usize) -> impl Iterator<Item = usize> {
    let mut rest = map & (u32::MAX << first);
    std::iter::from_fn(move || {
        let bit = rest.trailing_zeros() as usize;
        (rest != 0).then(|| {
            rest &= rest - 1;
            bit
        })
    })
}

/// Returns the level, row and column of a capacity.
fn coordinates(free: &Capacity) -> (usize, usize, usize) {
    let level = usize::try_from(free.accelerators).unwrap_or(LEVELS).min(LEVELS - 1);
    (level, step(free.cpu_milli / CPU_UNIT_MILLI), step(free.memory_mib / MEMORY_UNIT_MIB))
}

/// Maps an amount to a logarithmic step; monotonic, so that cells of smaller steps can be skipped.
fn step(amount: u64) -> usize {
    if amount == 0 {
        return 0;
    }
    let octave = u64::from(amount.ilog2());
    let within = (amount * STEPS_PER_OCTAVE) >> octave;
    let step = octave * STEPS_PER_OCTAVE + within - STEPS_PER_OCTAVE + 1;
    usize::try_from(step).unwrap_or(STEPS).min(STEPS - 1)
}

fn to_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Returns `part` divided by `whole`, in thousandths; 0 if `whole` is 0.
fn permille(part: u64, whole: u64) -> u64 {
    part.saturating_mul(1000).checked_div(whole).unwrap_or(0)
}

/// Properties of a worker that the cost function needs besides its free capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerSite {
    /// Total capacity of the worker.
    pub capacity: Capacity,
    /// Whether the worker is in a different region than the task's input.
    pub remote: bool,
    /// Number of tasks of the same job in the worker's failure domain.
    pub in_domain: u32,
    /// Number of tasks of the same job in the worker's rack.
    pub in_rack: u32,
}

/// A task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Capacity to reserve for the task.
    pub needs: Capacity,
    /// Whether the tasks of the job are spread over failure domains and racks.
    pub spread: bool,
    /// Size of the task's input in bytes, which a remote worker receives across regions.
    pub payload_bytes: u64,
    /// Worker on which the job last failed; chosen only if there is no other candidate.
    pub avoid: Option<Handle>,
}

/// Cost per task of the same job in the failure domain, in thousandths.
const DOMAIN_COST: u64 = 400;
/// Cost per task of the same job in the rack, in thousandths.
const RACK_COST: u64 = 200;
/// Fixed cost of a remote worker, in thousandths.
const REMOTE_COST: u64 = 200;
/// Input size that adds one thousandth to the cost of a remote worker, in bytes.
const BYTES_PER_REMOTE_COST: u64 = 64;
/// Cost of taking the first accelerator of a worker and leaving others free, in thousandths.
const FRAGMENTATION_COST: u64 = 500;

/// Returns the cost of placing `request` on a worker with `free` capacity; the lowest cost is best.
///
/// Best fit on the dominant resource keeps large free blocks for gangs. Capacity left unusable,
/// such as accelerators without processor time, and remote or crowded locations add to the cost.
pub fn cost(
    request: &PlacementRequest,
    free: &Capacity,
    site: &WorkerSite,
    weights: &Weights,
) -> u64 {
    let (total, left) = (&site.capacity, free.saturating_sub(&request.needs));
    let cpu = permille(left.cpu_milli, total.cpu_milli);
    let memory = permille(left.memory_mib, total.memory_mib);
    let accelerators = permille(left.accelerators, total.accelerators);
    let needs_cpu = permille(request.needs.cpu_milli, total.cpu_milli);
    let needs_memory = permille(request.needs.memory_mib, total.memory_mib);
    let dominant = if needs_cpu >= needs_memory { cpu } else { memory };
    let stranded = accelerators.saturating_sub(cpu.min(memory));
    let untouched = request.needs.accelerators > 0 && free.accelerators == total.accelerators;
    let fragmentation = if untouched && left.accelerators > 0 { FRAGMENTATION_COST } else { 0 };
    let packing = dominant + cpu.abs_diff(memory) / 2 + 2 * stranded + accelerators + fragmentation;
    let crowd = DOMAIN_COST * u64::from(site.in_domain) + RACK_COST * u64::from(site.in_rack);
    let spread = if request.spread { crowd } else { 0 };
    let transfer = REMOTE_COST + request.payload_bytes / BYTES_PER_REMOTE_COST;
    let locality = if site.remote { transfer } else { 0 };
    u64::from(weights.packing) * packing
        + u64::from(weights.spread) * spread
        + u64::from(weights.locality) * locality
}

#[cfg(test)]
mod tests;
