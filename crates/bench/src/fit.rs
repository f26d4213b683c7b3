//! Least-squares fit of a straight line through measured points.

use serde::{Deserialize, Serialize};

/// One measurement: the cost at a given size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Number of items, such as requests or open streams.
    pub size: f64,
    /// Cost measured at this size.
    pub cost: f64,
}

/// A line fitted by least squares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Cost of each additional item.
    pub slope: f64,
    /// Standard error of the slope.
    #[serde(rename = "error")]
    pub std_error: f64,
    /// Cost at size zero.
    #[serde(rename = "base")]
    pub intercept: f64,
    /// Coefficient of determination: the share of the variance that the line
    /// explains, at most 1.
    pub r2: f64,
    /// The fitted points.
    pub points: Vec<Point>,
}

impl Line {
    /// Fits a line. The slope needs two different sizes and its standard error
    /// three points; with fewer they are NaN or infinite.
    #[must_use]
    pub fn fit(points: &[Point]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.size).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.cost).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|p| (p.size - mean_x).powi(2)).sum();
        let syy: f64 = points.iter().map(|p| (p.cost - mean_y).powi(2)).sum();
        let sxy: f64 = points
            .iter()
            .map(|p| (p.size - mean_x) * (p.cost - mean_y))
            .sum();

        let slope = sxy / sxx;
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points
            .iter()
            .map(|p| (p.cost - intercept - slope * p.size).powi(2))
            .sum();
        Self {
            slope,
            std_error: (residual / (n - 2.0) / sxx).sqrt(),
            intercept,
            // Equal costs have no variance, which a flat line fits exactly.
            r2: if syy > 0.0 { 1.0 - residual / syy } else { 1.0 },
            points: points.to_vec(),
        }
    }
}
