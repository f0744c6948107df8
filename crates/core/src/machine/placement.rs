//! Placement: an index of workers by free capacity, and the score that picks among them.
//!
//! [`Index`] sorts the workers of one failure domain into cells by free accelerators, processor
//! time and memory. Bitmaps of non-empty cells let a search touch only cells that can hold the
//! need, and a bound on candidates keeps its cost nearly independent of the number of workers.

use crate::contract::configuration::Weights;
use crate::machine::capacity::Capacity;

/// Position of a worker in a [`crate::machine::view::View`].
pub type Handle = u32;

/// Levels of free accelerators; the last one holds everything above.
const LEVELS: usize = 16;
/// Rows by processor time and columns by memory in each level.
const STEPS: usize = 32;
/// Steps for each doubling of processor time or memory.
const STEPS_PER_OCTAVE: u64 = 4;
/// Processor time below which all amounts share the first row, in thousandths of a core.
const CPU_UNIT_MILLI: u64 = 250;
/// Memory below which all amounts share the first column, in mebibytes.
const MEMORY_UNIT_MIB: u64 = 512;
/// Workers looked at in one cell.
const PROBES_PER_CELL: usize = 24;
/// Candidates taken from one cell: its workers are nearly alike.
const CANDIDATES_PER_CELL: usize = 2;
/// Cells with candidates that are looked at in one row.
const CELLS_PER_ROW: usize = 2;
/// Candidates taken from one level.
const CANDIDATES_PER_LEVEL: usize = 12;
/// Levels with candidates that are looked at.
const LEVELS_PER_SEARCH: usize = 2;

/// Where a worker stands in an [`Index`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spot {
    cell: u32,
    position: u32,
}

/// The workers of one failure domain by free capacity.
#[derive(Clone, Debug)]
pub struct Index {
    /// Bit per level with workers.
    levels: u32,
    /// Bit per row with workers, for each level.
    rows: [u32; LEVELS],
    /// Bit per column with workers, for each level and row.
    columns: Vec<u32>,
    /// Workers with their free capacity, for each level, row and column.
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
    /// Adds a worker with its free capacity.
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

    /// Removes the worker at a spot. Returns the worker that took over the spot, if any.
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

    /// Calls `visit` for a bounded number of workers that can hold `need`, tightest cells first.
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

/// Returns the positions of the set bits from `first` upwards.
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

fn coordinates(free: &Capacity) -> (usize, usize, usize) {
    let level = usize::try_from(free.accelerators).unwrap_or(LEVELS).min(LEVELS - 1);
    (level, step(free.cpu_milli / CPU_UNIT_MILLI), step(free.memory_mib / MEMORY_UNIT_MIB))
}

/// Returns the logarithmic step of an amount; a greater amount never has a smaller step.
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

/// Part of a whole, in thousandths.
fn permille(part: u64, whole: u64) -> u64 {
    part.saturating_mul(1000).checked_div(whole).unwrap_or(0)
}

/// What placement knows of a worker besides its free capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Site {
    /// Everything that the worker can give.
    pub capacity: Capacity,
    /// Whether the worker is in another region than the origin of the work's input.
    pub remote: bool,
    /// Tasks of the same job in the worker's failure domain.
    pub in_domain: u32,
    /// Tasks of the same job in the worker's rack.
    pub in_rack: u32,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Capacity that will be reserved.
    pub needs: Capacity,
    /// Whether the tasks of the job are spread over failure domains and racks.
    pub spread: bool,
    /// Input of the task, in bytes, which crosses regions to a remote worker.
    pub payload_bytes: u64,
    /// Worker on which the job failed last; it is taken only when no other is found.
    pub avoid: Option<Handle>,
}

/// Thousandths that one further task of the job in the same failure domain costs.
const DOMAIN_COST: u64 = 400;
/// Thousandths that one further task of the job in the same rack costs.
const RACK_COST: u64 = 200;
/// Thousandths that a remote worker costs, whatever the input.
const REMOTE_COST: u64 = 200;
/// Input whose transfer to another region costs one thousandth more, in bytes.
const BYTES_PER_REMOTE_COST: u64 = 64;
/// Thousandths that the first accelerator taken of an untouched worker costs.
const HOLE_COST: u64 = 500;

/// Returns the cost of placing `ask` on a worker with `free` capacity. The least cost is best.
///
/// Best fit on the dominant resource keeps large holes for gangs; leftovers that no task could
/// use, such as accelerators without processor time, and remote or crowded places cost more.
pub fn cost(ask: &Ask, free: &Capacity, site: &Site, weights: &Weights) -> u64 {
    let (total, left) = (&site.capacity, free.saturating_sub(&ask.needs));
    let cpu = permille(left.cpu_milli, total.cpu_milli);
    let memory = permille(left.memory_mib, total.memory_mib);
    let accelerators = permille(left.accelerators, total.accelerators);
    let needs_cpu = permille(ask.needs.cpu_milli, total.cpu_milli);
    let needs_memory = permille(ask.needs.memory_mib, total.memory_mib);
    let dominant = if needs_cpu >= needs_memory { cpu } else { memory };
    let stranded = accelerators.saturating_sub(cpu.min(memory));
    let untouched = ask.needs.accelerators > 0 && free.accelerators == total.accelerators;
    let hole = if untouched && left.accelerators > 0 { HOLE_COST } else { 0 };
    let packing = dominant + cpu.abs_diff(memory) / 2 + 2 * stranded + accelerators + hole;
    let crowd = DOMAIN_COST * u64::from(site.in_domain) + RACK_COST * u64::from(site.in_rack);
    let spread = if ask.spread { crowd } else { 0 };
    let transfer = REMOTE_COST + ask.payload_bytes / BYTES_PER_REMOTE_COST;
    let locality = if site.remote { transfer } else { 0 };
    u64::from(weights.packing) * packing
        + u64::from(weights.spread) * spread
        + u64::from(weights.locality) * locality
}

#[cfg(test)]
mod tests;
