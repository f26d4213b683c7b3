//! Least-squares fit of a line through measured points.

use bench::fit::{Line, Point};

fn points(costs: &[f64]) -> Vec<Point> {
    let sized = costs.iter().zip(1..);
    sized
        .map(|(cost, size)| Point {
            size: f64::from(size),
            cost: *cost,
        })
        .collect()
}

#[test]
fn fit_exact_line() {
    let line = Line::fit(&points(&[5.0, 8.0, 11.0, 14.0]));
    assert!((line.slope - 3.0).abs() < 1e-9 && (line.intercept - 2.0).abs() < 1e-9);
    assert!(line.std_error.abs() < 1e-9 && (line.r2 - 1.0).abs() < 1e-9);
}

/// Expected values computed by hand: slope 1.9, residuals -0.1, 0.0, 0.3, -0.2.
#[test]
fn fit_noisy_points() {
    let line = Line::fit(&points(&[2.0, 4.0, 6.2, 7.6]));
    assert!((line.slope - 1.9).abs() < 1e-9);
    assert!((line.std_error - (0.14_f64 / 2.0 / 5.0).sqrt()).abs() < 1e-9);
}
