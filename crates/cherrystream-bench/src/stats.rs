//! Medians, ranges and linear fits.

/// Returns the median; the upper of the two middle values if their number is even.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Returns the lowest and the highest value.
pub fn range(values: &[f64]) -> (f64, f64) {
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (low, high)
}

/// A straight line fitted to points.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Increase per unit.
    pub slope: f64,
}

/// Returns the least-squares line through the points.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let n = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
    let (mx, my) = (sx / n, sy / n);
    let sxy: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let sxx: f64 = points.iter().map(|(x, _)| (x - mx) * (x - mx)).sum();
    let slope = sxy / sxx;
    Line { intercept: my - slope * mx, slope }
}
