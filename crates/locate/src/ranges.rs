//! Disjoint ranges of addresses in sorted arrays.

/// Stands for a range without a region.
pub(crate) const NO_REGION: u16 = u16::MAX;

/// Ranges from one entry of the upper array to the next.
const FENCE_RANGES: usize = 64;

/// A declared block of one address width.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row<T> {
    pub(crate) start: T,
    pub(crate) line: u32,
    pub(crate) region: u16,
    pub(crate) len_bits: u8,
}

/// The arithmetic of one address width.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Width<T> {
    /// The last address of a prefix.
    pub(crate) last: fn(T, u8) -> T,
    /// The address after this one, if any.
    pub(crate) next: fn(T) -> Option<T>,
}

/// Every address's region: range `i` begins at `starts[i]` and ends before `starts[i + 1]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ranges<T> {
    /// Every [`FENCE_RANGES`]-th start.
    fences: Vec<T>,
    starts: Vec<T>,
    regions: Vec<u16>,
}

impl<T: Copy + Ord> Ranges<T> {
    /// The ranges of declared blocks, the longest prefix first.
    ///
    /// # Errors
    ///
    /// The later of two rows with the same prefix.
    pub(crate) fn new(mut rows: Vec<Row<T>>, width: Width<T>) -> Result<Self, Row<T>> {
        rows.sort_unstable_by_key(|row| (row.start, row.len_bits, row.line));
        let repeated = rows
            .windows(2)
            .find(|pair| (pair[0].start, pair[0].len_bits) == (pair[1].start, pair[1].len_bits));
        if let Some(pair) = repeated {
            return Err(pair[1]);
        }
        let mut sweep = Sweep::default();
        for row in &rows {
            sweep.close_before(row.start, width);
            sweep.open((width.last)(row.start, row.len_bits), row);
        }
        sweep.close_all(width);
        drop(rows);
        Ok(sweep.finish())
    }

    /// The region of an address, with the number of starts that were compared.
    pub(crate) fn find(&self, address: T) -> (Option<u16>, u32) {
        let mut steps = 0;
        let mut begins_before = |start: &T| {
            steps += 1;
            *start <= address
        };
        let fence = self.fences.partition_point(&mut begins_before);
        let Some(first) = fence.checked_sub(1).map(|fence| fence * FENCE_RANGES) else {
            return (None, steps);
        };
        let end = self.starts.len().min(first + FENCE_RANGES);
        let within = self.starts[first..end].partition_point(&mut begins_before);
        let region = self.regions[first + within - 1];
        (Some(region).filter(|region| *region != NO_REGION), steps)
    }

    pub(crate) const fn len(&self) -> usize {
        self.starts.len()
    }

    pub(crate) const fn heap_bytes(&self) -> usize {
        (self.fences.capacity() + self.starts.capacity()) * size_of::<T>()
            + self.regions.capacity() * size_of::<u16>()
    }
}

/// Turns nested blocks, in order of their starts, into disjoint ranges.
#[derive(Debug)]
struct Sweep<T> {
    starts: Vec<T>,
    regions: Vec<u16>,
    /// The last address and the region of each block that holds the present address.
    open: Vec<(T, u16)>,
}

impl<T> Default for Sweep<T> {
    fn default() -> Self {
        Self {
            starts: Vec::new(),
            regions: Vec::new(),
            open: Vec::new(),
        }
    }
}

impl<T: Copy + Ord> Sweep<T> {
    fn open(&mut self, last: T, row: &Row<T>) {
        self.open.push((last, row.region));
        self.begin(row.start, row.region);
    }

    fn close_before(&mut self, start: T, width: Width<T>) {
        while self.open.last().is_some_and(|(last, _)| *last < start) {
            self.close(width);
        }
    }

    fn close_all(&mut self, width: Width<T>) {
        while !self.open.is_empty() {
            self.close(width);
        }
    }

    fn close(&mut self, width: Width<T>) {
        let Some((last, _)) = self.open.pop() else {
            return;
        };
        let outer = self.open.last().map_or(NO_REGION, |(_, region)| *region);
        if let Some(next) = (width.next)(last) {
            self.begin(next, outer);
        }
    }

    fn begin(&mut self, start: T, region: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.regions.pop();
        }
        if self.regions.last() != Some(&region) {
            self.starts.push(start);
            self.regions.push(region);
        }
    }

    fn finish(mut self) -> Ranges<T> {
        self.starts.shrink_to_fit();
        self.regions.shrink_to_fit();
        let mut fences: Vec<T> = self.starts.iter().copied().step_by(FENCE_RANGES).collect();
        fences.shrink_to_fit();
        Ranges {
            fences,
            starts: self.starts,
            regions: self.regions,
        }
    }
}
