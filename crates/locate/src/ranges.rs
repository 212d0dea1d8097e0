//! Resolves nested address prefixes into disjoint ranges in sorted arrays, for binary search.

/// The region index of a range that no declared block covers.
pub(crate) const NO_REGION: u16 = u16::MAX;

/// How many ranges one element of the sparse index covers.
const SPARSE_INDEX_STRIDE: usize = 64;

/// A block as it was declared, before nested blocks are resolved into ranges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeclaredBlock<T> {
    /// The first address.
    pub(crate) start: T,
    /// The line that declares it, for errors.
    pub(crate) line: u32,
    /// An index into the list of regions.
    pub(crate) region: u16,
    pub(crate) len_bits: u8,
}

/// The arithmetic of one kind of address: 32, 64 or 128 bits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AddressOps<T> {
    /// The last address of a prefix, from its first address and its length in bits.
    pub(crate) last_address: fn(T, u8) -> T,
    /// The next higher address; `None` after the highest.
    pub(crate) next: fn(T) -> Option<T>,
}

/// Maps addresses to regions: range `i` begins at `starts[i]`, ends before `starts[i + 1]` and
/// belongs to `regions[i]`, which is [`NO_REGION`] for a gap between blocks. The last range runs to
/// the highest address; addresses before `starts[0]` have no region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ranges<T> {
    /// Every [`SPARSE_INDEX_STRIDE`]-th element of `starts`, searched first.
    sparse_index: Vec<T>,
    starts: Vec<T>,
    regions: Vec<u16>,
}

impl<T: Copy + Ord> Ranges<T> {
    /// Resolves declared blocks into ranges. The longest prefix that contains a range gives it its
    /// region.
    ///
    /// # Errors
    ///
    /// If two blocks have the same prefix, the one of the later line.
    pub(crate) fn new(
        mut blocks: Vec<DeclaredBlock<T>>,
        ops: AddressOps<T>,
    ) -> Result<Self, DeclaredBlock<T>> {
        blocks.sort_unstable_by_key(|block| (block.start, block.len_bits, block.line));
        let repeated = blocks
            .windows(2)
            .find(|pair| (pair[0].start, pair[0].len_bits) == (pair[1].start, pair[1].len_bits));
        if let Some(pair) = repeated {
            return Err(pair[1]);
        }
        let mut sweep = Sweep::default();
        for block in &blocks {
            sweep.close_before(block.start, ops);
            sweep.open((ops.last_address)(block.start, block.len_bits), block);
        }
        sweep.close_all(ops);
        drop(blocks);
        Ok(sweep.finish())
    }

    /// The region index of an address, and how many range starts were compared to find it.
    pub(crate) fn find(&self, address: T) -> (Option<u16>, u32) {
        let mut comparisons = 0;
        let mut starts_at_or_before = |start: &T| {
            comparisons += 1;
            *start <= address
        };
        let indexed = self.sparse_index.partition_point(&mut starts_at_or_before);
        let Some(first) = indexed
            .checked_sub(1)
            .map(|indexed| indexed * SPARSE_INDEX_STRIDE)
        else {
            return (None, comparisons);
        };
        let end = self.starts.len().min(first + SPARSE_INDEX_STRIDE);
        let within = self.starts[first..end].partition_point(&mut starts_at_or_before);
        let region = self.regions[first + within - 1];
        (
            Some(region).filter(|region| *region != NO_REGION),
            comparisons,
        )
    }

    pub(crate) const fn len(&self) -> usize {
        self.starts.len()
    }

    pub(crate) const fn heap_bytes(&self) -> usize {
        (self.sparse_index.capacity() + self.starts.capacity()) * size_of::<T>()
            + self.regions.capacity() * size_of::<u16>()
    }
}

/// Sweeps over nested blocks in order of their first addresses and emits disjoint ranges.
#[derive(Debug)]
struct Sweep<T> {
    starts: Vec<T>,
    regions: Vec<u16>,
    /// The blocks that contain the current address, outermost first: last address and region.
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
    fn open(&mut self, last: T, block: &DeclaredBlock<T>) {
        self.open.push((last, block.region));
        self.start_range(block.start, block.region);
    }

    fn close_before(&mut self, start: T, ops: AddressOps<T>) {
        while self.open.last().is_some_and(|(last, _)| *last < start) {
            self.close(ops);
        }
    }

    fn close_all(&mut self, ops: AddressOps<T>) {
        while !self.open.is_empty() {
            self.close(ops);
        }
    }

    /// Ends the innermost open block; the enclosing block, if any, continues after it.
    fn close(&mut self, ops: AddressOps<T>) {
        let Some((last, _)) = self.open.pop() else {
            return;
        };
        let outer = self.open.last().map_or(NO_REGION, |(_, region)| *region);
        if let Some(next) = (ops.next)(last) {
            self.start_range(next, outer);
        }
    }

    /// Starts a range, merged with the range before it if both have the same region. A range that
    /// starts at the same address is replaced.
    fn start_range(&mut self, start: T, region: u16) {
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
        let mut sparse_index: Vec<T> = self
            .starts
            .iter()
            .copied()
            .step_by(SPARSE_INDEX_STRIDE)
            .collect();
        sparse_index.shrink_to_fit();
        Ranges {
            sparse_index,
            starts: self.starts,
            regions: self.regions,
        }
    }
}
