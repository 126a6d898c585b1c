//! A map as a sorted vector.

/// Entries by key, found by binary search.
#[derive(Debug, Clone)]
pub struct Sorted<K, V> {
    rows: Vec<(K, V)>,
}

impl<K: Ord, V> Default for Sorted<K, V> {
    fn default() -> Sorted<K, V> {
        Sorted { rows: Vec::new() }
    }
}

impl<K: Ord, V> Sorted<K, V> {
    /// Returns the entry of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&self.rows[at].1)
    }

    /// Returns the entry of a key, to be changed.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        let at = self.find(key).ok()?;
        Some(&mut self.rows[at].1)
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
                self.rows.insert(at, (key.clone(), V::default()));
                at
            }
        };
        &mut self.rows[at].1
    }

    /// Sets the entry of a key and returns the one it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.rows[at].1, value)),
            Err(at) => {
                self.rows.insert(at, (key, value));
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
        Some(self.rows.remove(at).1)
    }

    /// Returns the entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.rows.iter().map(|(k, v)| (k, v))
    }

    /// Returns the entries in the order of their keys, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.rows.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }
}
