/// The cost of one mechanism of a role.
#[derive(Clone, Debug)]
pub struct MechanismCost {
    /// The name of the mechanism.
    pub name: &'static str,
    /// The cost on one node.
    pub cost: Cost,
}

/// The resources used on one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Memory, in bytes.
    pub memory: f64,
    /// Inbound and outbound traffic, in bytes per second.
    pub traffic: f64,
    /// Processor time, in cores.
    pub core: f64,
}

/// The cost of a role on one node, by mechanism.
#[derive(Clone, Debug)]
pub struct RoleCost {
    /// The name of the role.
    pub name: &'static str,
    /// Whether the figures describe the current code (`true`) or the planned
    /// design (`false`).
    pub built: bool,
    /// The costs of the role's mechanisms.
    pub mechanisms: Vec<MechanismCost>,
}

impl RoleCost {
    pub(crate) fn new(name: &'static str, built: bool) -> Self {
        let mechanisms = Vec::new();
        Self {
            name,
            built,
            mechanisms,
        }
    }

    pub(crate) fn add(&mut self, name: &'static str, memory: f64, traffic: f64, core: f64) {
        let cost = Cost {
            memory,
            traffic,
            core,
        };
        self.mechanisms.push(MechanismCost { name, cost });
    }

    /// Returns whether the role runs on an entry host, to which the limits apply.
    pub fn runs_on_node(&self) -> bool {
        matches!(self.name, "router" | "cell leader" | "relay")
    }

    /// Returns the total cost of all mechanisms.
    pub fn total(&self) -> Cost {
        let mut total = Cost::default();
        for item in &self.mechanisms {
            total.memory += item.cost.memory;
            total.traffic += item.cost.traffic;
            total.core += item.cost.core;
        }
        total
    }
}
