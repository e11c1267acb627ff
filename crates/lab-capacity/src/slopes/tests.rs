use super::*;

#[test]
fn a_fit_yields_the_line_its_standard_error_and_predictions() {
    let straight: Vec<(f64, f64)> = [1.0, 2.0, 4.0, 8.0, 16.0].iter().map(|x| (*x, 3.0 + 2.0 * x)).collect();
    let fit = Fit::new(&straight).expect("a line");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9 && fit.slope_se < 1e-9);
    // By hand: slope 1.1, residuals -0.1, 0.3, -0.3, 0.1, Sxx 5.
    let bent = [(1.0, 1.0), (2.0, 2.5), (3.0, 3.0), (4.0, 4.5)];
    let fit = Fit::new(&bent).expect("a line");
    assert!((fit.slope - 1.1).abs() < 1e-9 && (fit.intercept - 0.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.slope_se - (0.1f64 / 5.0).sqrt()).abs() < 1e-9, "{fit:?}");
    let prediction = fit.predict(&bent, 5.5);
    assert!((prediction.value - 6.05).abs() < 1e-9, "{prediction:?}");
    assert!((prediction.se - (0.1f64 * (1.25 + 9.0 / 5.0)).sqrt()).abs() < 1e-9, "{prediction:?}");
}

#[test]
fn a_fit_yields_the_exponent_of_a_power_law() {
    let square: Vec<(f64, f64)> = [1.0, 2.0, 4.0, 8.0].iter().map(|x| (*x, 5.0 * x * x)).collect();
    let power = Fit::new(&square).expect("a fit").power.expect("a power");
    assert!((power - 2.0).abs() < 1e-9);
    assert_eq!(Fit::new(&[(1.0, 0.0), (2.0, 1.0), (3.0, 2.0)]).expect("a fit").power, None);
}

#[test]
fn points_that_determine_no_line_are_rejected() {
    assert!(Fit::new(&[(1.0, 1.0), (2.0, 2.0)]).is_err(), "two points yield no standard error");
    assert!(Fit::new(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]).is_err(), "all points have the same size");
    assert!(Fit::new(&[(1.0, 1.0), (2.0, f64::NAN), (3.0, 3.0)]).is_err(), "a value is not a number");
}

const FAMILY: Family = Family {
    name: "role.size",
    role: "role",
    against: "size",
    at: &[1.0, 2.0, 5.0, 10.0, 20.0],
    quantities: &[Quantity { name: "role.cost.size", quantity: "cost", unit: "s" }],
    measure: |_, x| Ok(vec![1.0 + x]),
};

fn slope(points: &[(f64, f64)]) -> Result<Slope, CapacityError> {
    Slope::new(&FAMILY.quantities[0], &FAMILY, true, points.to_vec())
}

#[test]
fn the_largest_size_is_held_out_and_compared_with_the_fit() {
    let slope = slope(&[(20.0, 30.0), (1.0, 2.0), (2.0, 3.0), (5.0, 6.0), (10.0, 11.0)]).expect("a slope");
    assert_eq!((slope.points.len(), slope.held_out.x, slope.held_out.measured), (4, 20.0, 30.0));
    assert!((slope.held_out.predicted - 21.0).abs() < 1e-9 && !slope.is_linear());
    assert_eq!(
        (slope.measured(20.0), slope.measured(5.0), slope.measured(6.0)),
        (Some(30.0), Some(6.0), None)
    );
    assert!(slope.check().is_ok());
    let mut other = slope.clone();
    other.fit.slope *= 1.01;
    assert!(other.check().is_err_and(|cause| cause.to_string().contains("role.cost.size")));
    let mut other = slope;
    other.points[0].1 += 0.5;
    assert!(other.check().is_err());
}

#[test]
fn too_few_sizes_or_a_range_under_a_decade_yield_no_slope() {
    let few = slope(&[(1.0, 1.0), (2.0, 2.0), (5.0, 5.0), (10.0, 10.0)]);
    assert!(few.is_err_and(|cause| cause.to_string().contains("too few")));
    let near = slope(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 4.0), (9.0, 9.0)]);
    assert!(near.is_err_and(|cause| cause.to_string().contains("decade")));
}

#[test]
fn every_family_has_sizes_for_a_slope_and_unique_names() {
    let mut names = std::collections::BTreeSet::new();
    for family in families() {
        assert!(split_largest(family.at.iter().map(|x| (*x, 1.0)).collect()).is_ok(), "{}", family.name);
        for quantity in family.quantities {
            assert!(names.insert(quantity.name), "{} twice", quantity.name);
            assert_eq!(select(&[quantity.name.to_owned()]).expect("a family").len(), 1);
        }
    }
    assert!(select(&["no.such".to_owned()]).is_err_and(|cause| cause.to_string().contains("no.such")));
}

#[test]
fn a_saved_slope_is_loaded_unchanged() {
    let folder = tempfile::tempdir().expect("a folder");
    let setup = Setup { proxy: PathBuf::new(), control: PathBuf::new(), shared: false };
    let mut sizes = Vec::new();
    let slopes = measure(&FAMILY, &setup, |x, _| sizes.push(x)).expect("measured");
    slopes.iter().for_each(|slope| save(slope, folder.path()).expect("kept"));
    assert_eq!((sizes.len(), load(folder.path()).expect("read")), (5, slopes));
}

#[test]
fn a_measurement_below_its_rate_is_rejected() {
    assert!(check_rate(20, 10.0, 2.0).is_ok());
    assert!(check_rate(18, 10.0, 2.0).is_err_and(|cause| cause.to_string().contains("1.8")));
}
