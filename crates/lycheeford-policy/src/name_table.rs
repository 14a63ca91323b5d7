use crate::Name;

/// A table of values by name, with small ids that stay valid until the value is removed.
///
/// Other tables refer to a value by its id instead of its name. A sorted vector of ids finds a
/// value by name.
#[derive(Debug)]
pub(crate) struct NameTable<T> {
    slots: Vec<Option<(Name, T)>>,
    sorted: Vec<u32>,
    free_ids: Vec<u32>,
}

impl<T> Default for NameTable<T> {
    fn default() -> NameTable<T> {
        NameTable { slots: Vec::new(), sorted: Vec::new(), free_ids: Vec::new() }
    }
}

impl<T> NameTable<T> {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.position(name).ok().map(|index| self.sorted[index])
    }

    pub fn get(&self, id: u32) -> Option<&T> {
        self.slots.get(id as usize)?.as_ref().map(|(_, value)| value)
    }

    pub fn get_mut(&mut self, id: u32) -> Option<&mut T> {
        self.slots.get_mut(id as usize)?.as_mut().map(|(_, value)| value)
    }

    pub fn name(&self, id: u32) -> Option<&Name> {
        self.slots.get(id as usize)?.as_ref().map(|(name, _)| name)
    }

    pub fn ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.sorted.iter().copied()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.slots.iter_mut().flatten().map(|(_, value)| value)
    }

    pub fn remove(&mut self, id: u32) -> Option<T> {
        let name = self.name(id)?.clone();
        if let Ok(index) = self.position(&name) {
            self.sorted.remove(index);
        }
        let (_, value) = self.slots[id as usize].take()?;
        self.free_ids.push(id);
        Some(value)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.sorted.binary_search_by(|id| {
            self.slots[*id as usize].as_ref().map_or("", |(name, _)| name.as_str()).cmp(name)
        })
    }
}

impl<T: Default> NameTable<T> {
    pub fn find_or_insert(&mut self, name: &str) -> u32 {
        let index = match self.position(name) {
            Ok(index) => return self.sorted[index],
            Err(index) => index,
        };
        let id = self.free_ids.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() as u32 - 1
        });
        self.slots[id as usize] = Some((Name::from(name), T::default()));
        self.sorted.insert(index, id);
        id
    }
}
