//! A map backed by sorted vectors.

/// A map that finds entries by binary search.
///
/// The keys are stored contiguously, apart from the values, so that a search among thousands
/// of large entries touches only a few cache lines. Inserting and removing take linear time.
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
    /// Returns the value of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&self.values[at])
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&mut self.values[at])
    }

    /// Returns the value of a key, inserting the default value if the key is missing.
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

    /// Sets the value of a key and returns the previous value.
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

    /// Removes a key and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        self.keys.remove(at);
        Some(self.values.remove(at))
    }

    /// Returns the entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.keys.iter().zip(&self.values)
    }

    /// Returns the entries in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.keys.iter().zip(&mut self.values)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the map has no entries.
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
