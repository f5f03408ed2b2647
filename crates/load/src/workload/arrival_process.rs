use rand::Rng;
use rand_distr::{Distribution, Exp1};

const MICROS_PER_SEC: f64 = 1_000_000.0;

/// How the rate of open-loop arrivals varies over time, as a factor of the mean rate. The mean
/// of the factor over a period is one.
///
/// ```
/// let arrivals = load::ArrivalProcess::Burst { period: 30.0, length: 3.0, factor: 4.0 };
/// assert_eq!(arrivals.factor_at(1.0), 4.0);
/// assert!(arrivals.factor_at(10.0) < 1.0);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub enum ArrivalProcess {
    /// Poisson arrivals with a constant rate.
    Poisson,
    /// Poisson arrivals whose rate is multiplied by `factor` for `length` seconds in each
    /// `period` and lower between the bursts.
    Burst {
        /// Seconds from the start of one burst to the next.
        period: f64,
        /// Length of a burst in seconds.
        length: f64,
        /// Rate in a burst over the mean rate.
        factor: f64,
    },
    /// Poisson arrivals whose rate varies as a sine around its mean, as over a work shift.
    Sinusoidal {
        /// Seconds of one oscillation.
        period: f64,
        /// Largest relative deviation from the mean rate.
        amplitude: f64,
    },
}

impl ArrivalProcess {
    /// Rate at `seconds` after the start, divided by the mean rate.
    pub fn factor_at(&self, seconds: f64) -> f64 {
        match *self {
            Self::Poisson => 1.0,
            Self::Burst {
                period,
                length,
                factor,
            } => match seconds % period < length {
                true => factor,
                false => ((period - length * factor) / (period - length)).max(0.0),
            },
            Self::Sinusoidal { period, amplitude } => {
                1.0 + amplitude * (std::f64::consts::TAU * seconds / period).sin()
            }
        }
    }

    /// Draws the arrival times, in microseconds, of the first `seconds` at a mean `rate` per
    /// second.
    pub fn draw_times(&self, random: &mut impl Rng, rate: f64, seconds: f64) -> Vec<u64> {
        let mut times = Vec::new();
        let peak = rate * self.peak_factor();
        if peak <= 0.0 {
            return times;
        }
        let mut at = 0.0;
        loop {
            let step: f64 = Exp1.sample(random);
            at += step / peak;
            if at >= seconds {
                return times;
            }
            // Thinning (Lewis and Shedler, 1979) turns the peak rate into the rate at `at`.
            if random.random_bool((self.factor_at(at) * rate / peak).clamp(0.0, 1.0)) {
                times.push((at * MICROS_PER_SEC) as u64);
            }
        }
    }

    fn peak_factor(&self) -> f64 {
        match *self {
            Self::Poisson => 1.0,
            Self::Burst { factor, .. } => factor.max(1.0),
            Self::Sinusoidal { amplitude, .. } => 1.0 + amplitude,
        }
    }
}
