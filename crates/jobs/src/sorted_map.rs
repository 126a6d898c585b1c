//! A map as a sorted vector.

/// Entries by key, found by binary search.
///
/// The keys lie side by side: a search among thousands of large entries touches a few
/// lines of memory only.
#[derive(Debug, Clone)]
pub struct SortedMap<K, V> {
    keys: Vec<K>,
    values: Vec<V>,
}

impl<K: Ord, V> Default for SortedMap<K, V> {
    fn default() -> SortedMap<K, V> {
        SortedMap {
            keys: Vec::new(),
            values: Vec::new(),
        }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    /// Returns the entry of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&self.values[at])
    }

    /// Returns the entry of a key, to be changed.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&mut self.values[at])
    }

    /// Returns the entry of a key, made with its default if there is none.
    pub fn or_default(&mut self, key: &K) -> &mut V
    where
        K: Clone,
        V: Default,
    {
        let at = match self.find(key) {
            Ok(at) => at,
            Err(at) => {
                self.keys.insert(at, key.clone());
                self.values.insert(at, V::default());
                at
            }
        };
        &mut self.values[at]
    }

    /// Sets the entry of a key and returns the one it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.values[at], value)),
            Err(at) => {
                self.keys.insert(at, key);
                self.values.insert(at, value);
                None
            }
        }
    }

    /// Removes the entry of a key.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        self.keys.remove(at);
        Some(self.values.remove(at))
    }

    /// Returns the entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.keys.iter().zip(&self.values)
    }

    /// Returns the entries in the order of their keys, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.keys.iter().zip(&mut self.values)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.keys.binary_search_by(|k| k.borrow().cmp(key))
    }
}
